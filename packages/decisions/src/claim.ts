/**
 * A claim: the record that lets one request with an idempotency key run once.
 * A `claimed` one belongs to the request with its `token`, an `answered` one
 * holds the answer. `digest` identifies the content of the request.
 */
export type ClaimRow =
  | {
      readonly state: 'claimed';
      readonly digest: string;
      readonly token: string;
      readonly atMs: number;
    }
  | {
      readonly state: 'answered';
      readonly digest: string;
      readonly token: string;
      readonly atMs: number;
      readonly receipt: Receipt;
    };

/** The stored answer of a request, replayed to later requests with the same key. */
export interface Receipt {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What a request may do, given the claim stored under its key. */
export type ClaimDecision =
  | {readonly kind: 'dispatch'}
  | {readonly kind: 'replay'; readonly receipt: Receipt}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'outcome-unknown'};

/** Returns the table key of a claim from the account and the caller's idempotency key; both are encoded, so that different pairs never collide. */
export function claimKey(account: string, requestKey: string): string {
  return `claim/${encodeURIComponent(account)}/${encodeURIComponent(requestKey)}`;
}

/**
 * Decides what a request may do from the claim stored under its key. Only the
 * request whose `token` the claim holds may be dispatched, and only while the
 * claim is `claimed`; any other request gets the known outcome instead.
 */
export function decide(
  row: ClaimRow,
  token: string,
  digest: string,
): ClaimDecision {
  if (row.digest !== digest) return {kind: 'conflict'};
  if (row.state === 'answered') return {kind: 'replay', receipt: row.receipt};
  if (row.token === token) return {kind: 'dispatch'};
  return {kind: 'outcome-unknown'};
}
