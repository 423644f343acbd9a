/**
 * Reads and validates what callers send: headers and bodies. Functions that
 * validate throw FailureError with verdict `not-run`.
 */
import * as crypto from 'node:crypto';

import * as decisions from '@banyanhall/decisions';
import type Koa from 'koa';
import rawBody from 'raw-body';

/** The maximum size of a request body, in bytes. */
export const MAX_BODY_BYTES = 1_048_576;

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;
const MAX_REQUEST_KEY_CHARS = 255;

/** A validated chat request body. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
  readonly isStream: boolean;
}

/** Rejects a request before it runs: throws FailureError with verdict `not-run`. */
export function refuse(
  type: decisions.verdict.FailureType,
  message: string,
): never {
  throw new decisions.verdict.FailureError(
    decisions.verdict.failure(type, message),
  );
}

/** Reads the body as text. Throws FailureError if it exceeds `MAX_BODY_BYTES` or is incomplete. */
export async function body(ctx: Koa.Context): Promise<string> {
  try {
    return await rawBody(ctx.req, {limit: MAX_BODY_BYTES, encoding: 'utf8'});
  } catch (error) {
    const {type} = error as {readonly type?: string};
    if (type === 'entity.too.large') {
      return refuse(
        'request-too-large',
        `expected a body of at most ${MAX_BODY_BYTES} bytes`,
      );
    }
    return refuse(
      'invalid-request',
      'the request body could not be read to its end',
    );
  }
}

/** Parses and validates a chat request body. Throws a FailureError that names the invalid field. */
export function parseChatBody(text: string): ChatBody {
  const data = parseObject(text);
  const {model, messages, max_tokens: maxTokens, stream} = data;
  if (typeof model !== 'string') {
    return refuse('invalid-request', '"model" must be a string');
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    return refuse('invalid-request', '"messages" must be a non-empty array');
  }
  const limit = maxTokens ?? DEFAULT_MAX_TOKENS;
  const isWhole = Number.isInteger(limit) && (limit as number) >= 1;
  if (!isWhole || (limit as number) > MAX_TOKENS_LIMIT) {
    return refuse(
      'invalid-request',
      `"max_tokens" must be an integer from 1 to ${MAX_TOKENS_LIMIT}`,
    );
  }
  return {
    model,
    messages,
    maxTokens: limit as number,
    isStream: stream === true,
  };
}

/** The SHA-256 digest of the bearer key, in hex. Throws FailureError if the key is missing. */
export function keySha256(ctx: Koa.Context): string {
  const [scheme, key] = ctx.get('authorization').split(' ');
  if (scheme.toLowerCase() !== 'bearer' || !key) {
    return refuse(
      'unauthorized',
      'expected a bearer key in the authorization header',
    );
  }
  return crypto.createHash('sha256').update(key).digest('hex');
}

/** The idempotency key of the request, or an empty string. Throws FailureError if it is too long. */
export function requestKey(ctx: Koa.Context): string {
  const key = ctx.get('idempotency-key');
  if (key.length <= MAX_REQUEST_KEY_CHARS) return key;
  return refuse(
    'invalid-request',
    `"Idempotency-Key" must have at most ${MAX_REQUEST_KEY_CHARS} characters`,
  );
}

/** The SHA-256 digest of several strings, in hex. A NUL after each part keeps the boundaries unambiguous, provided that only the last part may contain NUL. */
export function digestOfParts(...parts: readonly string[]): string {
  const hash = crypto.createHash('sha256');
  for (const part of parts) hash.update(part).update('\0');
  return hash.digest('hex');
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return refuse('invalid-request', 'the request body is not valid JSON');
  }
  if (typeof data === 'object' && data !== null && !Array.isArray(data)) {
    return data as Readonly<Record<string, unknown>>;
  }
  return refuse('invalid-request', 'the request body must be a JSON object');
}
