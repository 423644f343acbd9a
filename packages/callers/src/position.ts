import * as crypto from 'node:crypto';

const CIPHER = 'aes-256-gcm';
const NONCE_BYTES = 12;
const TAG_BYTES = 16;

/** Where a streamed answer stands: what a caller needs to resume it at any host. */
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
 * Seals positions into event ids that tell callers nothing and open only
 * for the account they were given to. All hosts share the secret.
 */
export class PositionSealer {
  private readonly key: Buffer;

  constructor(secret: string) {
    this.key = crypto.createHash('sha256').update(secret).digest();
  }

  /** The event id for a position in an answer to `account`. */
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

  /** The position in an event id, or undefined when it was not sealed for `account`. */
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
