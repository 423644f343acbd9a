/** The state of a claimed request key; `answered` carries what the caller was told. */
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

/** The stored answer of a request, replayed to later attempts with the same key. */
export interface Receipt {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What an attempt may do, given the row that stands under its key. */
export type ClaimDecision =
  | {readonly kind: 'dispatch'}
  | {readonly kind: 'replay'; readonly receipt: Receipt}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'outcome-unknown'};

/** The table key of a claim; accounts never share keys. */
export function claimKey(account: string, requestKey: string): string {
  return `claim/${encodeURIComponent(account)}/${encodeURIComponent(requestKey)}`;
}

/**
 * Decides from the row read under the key. Only the holder of `token` may
 * dispatch, and only while the row is `claimed`; every other attempt learns
 * what is known and is never dispatched.
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
