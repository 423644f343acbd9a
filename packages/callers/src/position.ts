/**
 * Stream positions, encrypted into the event ids of streamed responses. A
 * caller sends the last event id to any host to resume the stream there.
 */
import * as crypto from 'node:crypto';

const CIPHER = 'aes-256-gcm';
const NONCE_BYTES = 12;
const TAG_BYTES = 16;

/**
 * The position in a streamed response, with what a host needs to resume it.
 * `offset` counts the characters streamed before it; `deadlineMs` is wall-clock
 * time. The property names are part of the encrypted event id.
 */
export interface Position {
  readonly host: string;
  readonly service: string;
  readonly backendServer: string;
  readonly streamId: string;
  readonly offset: number;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly tier: 1 | 2 | 3;
}

/**
 * Encrypts positions into opaque event ids and decrypts them. The account is
 * authenticated with the position, so an event id is only valid for the
 * account it was issued to. The key is derived from a secret that all hosts
 * share, so any host can resume a stream.
 */
export class PositionSealer {
  private readonly key: Buffer;

  constructor(secret: string) {
    this.key = crypto.createHash('sha256').update(secret).digest();
  }

  /** Encrypts a position into an event id for `account`. */
  seal(position: Position, account: string): string {
    const nonce = crypto.randomBytes(NONCE_BYTES);
    const cipher = crypto.createCipheriv(CIPHER, this.key, nonce);
    cipher.setAAD(Buffer.from(account));
    const plain = JSON.stringify(position);
    const sealed = Buffer.concat([
      nonce,
      cipher.update(plain, 'utf8'),
      cipher.final(),
      cipher.getAuthTag(),
    ]);
    return sealed.toString('base64url');
  }

  /** Decrypts an event id; undefined if it is malformed or was not issued to `account`. */
  open(eventId: string, account: string): Position | undefined {
    const sealed = Buffer.from(eventId, 'base64url');
    if (sealed.length <= NONCE_BYTES + TAG_BYTES) return undefined;
    const nonce = sealed.subarray(0, NONCE_BYTES);
    const body = sealed.subarray(NONCE_BYTES, -TAG_BYTES);
    const decipher = crypto.createDecipheriv(CIPHER, this.key, nonce);
    decipher.setAAD(Buffer.from(account));
    decipher.setAuthTag(sealed.subarray(-TAG_BYTES));
    try {
      const plain = Buffer.concat([decipher.update(body), decipher.final()]);
      return JSON.parse(plain.toString('utf8')) as Position;
    } catch {
      return undefined;
    }
  }
}
