import * as crypto from 'node:crypto';

import * as decisions from '@banyanhall/decisions';
import type Koa from 'koa';
import rawBody from 'raw-body';

/** The largest request body that is taken, in bytes. */
export const MAX_BODY_BYTES = 1_048_576;

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;
const MAX_REQUEST_KEY_CHARS = 255;

/** A chat request body that has the right shape. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
  readonly isStream: boolean;
}

/** Throws a failure that says not-run. */
export function refuse(
  type: decisions.verdict.FailureType,
  message: string,
): never {
  throw new decisions.verdict.FailureError(
    decisions.verdict.failure(type, message),
  );
}

/** Reads the body as text; throws FailureError when it is too large or breaks off. */
export async function body(ctx: Koa.Context): Promise<string> {
  try {
    return await rawBody(ctx.req, {limit: MAX_BODY_BYTES, encoding: 'utf8'});
  } catch (error) {
    const {type} = error as {readonly type?: string};
    if (type === 'entity.too.large') {
      return refuse(
        'request-too-large',
        `the body may have ${MAX_BODY_BYTES} bytes at most`,
      );
    }
    return refuse('invalid-request', 'the body could not be read');
  }
}

/** Checks a chat body; throws FailureError that names what is wrong. */
export function chatBody(text: string): ChatBody {
  const data = object(text);
  const {model, messages, max_tokens: maxTokens, stream} = data;
  if (typeof model !== 'string') {
    return refuse('invalid-request', '"model" has to be a string');
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    return refuse('invalid-request', '"messages" has to be a non-empty array');
  }
  const limit = maxTokens ?? DEFAULT_MAX_TOKENS;
  const isWhole = Number.isInteger(limit) && (limit as number) >= 1;
  if (!isWhole || (limit as number) > MAX_TOKENS_LIMIT) {
    return refuse(
      'invalid-request',
      `"max_tokens" has to be a whole number from 1 to ${MAX_TOKENS_LIMIT}`,
    );
  }
  return {
    model,
    messages,
    maxTokens: limit as number,
    isStream: stream === true,
  };
}

/** The digest of the bearer key; throws FailureError when there is none. */
export function keySha256(ctx: Koa.Context): string {
  const [scheme, key] = ctx.get('authorization').split(' ');
  if (scheme.toLowerCase() !== 'bearer' || !key) {
    return refuse('unauthorized', 'a bearer key is needed');
  }
  return crypto.createHash('sha256').update(key).digest('hex');
}

/** The request key of the caller, empty when there is none. */
export function requestKey(ctx: Koa.Context): string {
  const key = ctx.get('idempotency-key');
  if (key.length <= MAX_REQUEST_KEY_CHARS) return key;
  return refuse(
    'invalid-request',
    `"Idempotency-Key" may have ${MAX_REQUEST_KEY_CHARS} characters at most`,
  );
}

/** The SHA-256 digest of the parts of a request, in hex; parts can't run into each other. */
export function digestOfParts(...parts: readonly string[]): string {
  const hash = crypto.createHash('sha256');
  for (const part of parts) hash.update(part).update('\0');
  return hash.digest('hex');
}

function object(text: string): Readonly<Record<string, unknown>> {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return refuse('invalid-request', 'the body is not valid JSON');
  }
  if (typeof data === 'object' && data !== null && !Array.isArray(data)) {
    return data as Readonly<Record<string, unknown>>;
  }
  return refuse('invalid-request', 'the body has to be a JSON object');
}
