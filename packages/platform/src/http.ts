import * as forwarding from '@banyanhall/forwarding';
import got from 'got';
import type * as gotTypes from 'got';

import * as table from './table.js';

const REQUEST_TIMEOUT_MS = 1000;
/** Error codes that occur only before a connection is established, so that nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** The body of an error response to a commit; if `committed` is false, nothing was written. */
interface ErrorBody {
  readonly committed?: boolean;
}

/** Returns a client of the platform at `baseUrl`. Failed calls are not retried. */
export function connect(baseUrl: string): table.Platform {
  const client = got.extend({
    prefixUrl: baseUrl,
    request: forwarding.clientrequest.request,
    retry: {limit: 0},
    timeout: {request: REQUEST_TIMEOUT_MS},
    throwHttpErrors: false,
  });
  return {
    table: connectTable(client),
    objects: connectObjects(client),
    serverList: {
      list: () => post<readonly table.ServerListEntry[]>(client, 'hosts', {}),
    },
  };
}

function connectTable(client: gotTypes.Got): table.Table {
  return {
    read: async keys => {
      const rows = await post<readonly table.Row[]>(client, 'table/read', {
        keys,
      });
      return new Map(rows.map(row => [row.key, row]));
    },
    scan: (prefix, afterKey, limit) =>
      post(client, 'table/scan', {prefix, afterKey, limit}),
    commit: transaction => commit(client, transaction),
  };
}

function connectObjects(client: gotTypes.Got): table.ObjectStore {
  return {
    put: async (key, body) => {
      await post(client, 'objects/put', {key, body});
    },
    get: async key => {
      const found = await post<{readonly body?: string}>(
        client,
        'objects/get',
        {key},
      );
      return found.body;
    },
  };
}

async function post<T>(
  client: gotTypes.Got,
  path: string,
  body: unknown,
): Promise<T> {
  try {
    const response = await client.post(path, {json: body});
    if (response.statusCode === 200) return JSON.parse(response.body) as T;
    throw new table.StoreError(
      `expected status 200 from the store, got ${response.statusCode}`,
    );
  } catch (error) {
    if (error instanceof table.StoreError) throw error;
    throw new table.StoreError(
      `request to the store failed: ${messageOf(error)}`,
    );
  }
}

async function commit(
  client: gotTypes.Got,
  transaction: table.Transaction,
): Promise<table.CommitResult> {
  try {
    const response = await client.post('table/commit', {json: transaction});
    if (response.statusCode === 200) {
      return JSON.parse(response.body) as table.CommitResult;
    }
    const {committed} = JSON.parse(response.body) as ErrorBody;
    const message = `expected status 200 from the store, got ${response.statusCode}`;
    return {kind: committed === false ? 'not-committed' : 'unknown', message};
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? '';
    const kind = NOT_SENT_CODES.has(code) ? 'not-committed' : 'unknown';
    return {kind, message: messageOf(error)};
  }
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
