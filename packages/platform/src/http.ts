import got from 'got';
import type * as gotTypes from 'got';

import * as table from './table.js';

const REQUEST_TIMEOUT_MS = 1000;
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

interface ErrorBody {
  readonly committed?: boolean;
}

/** The platform over HTTP at `baseUrl`. No request is ever retried here. */
export function connect(baseUrl: string): table.Platform {
  const client = got.extend({
    prefixUrl: baseUrl,
    retry: {limit: 0},
    timeout: {request: REQUEST_TIMEOUT_MS},
    throwHttpErrors: false,
  });
  return {
    table: httpTable(client),
    objects: httpObjects(client),
    hosts: {
      list: () => ask<readonly table.HostListEntry[]>(client, 'hosts', {}),
    },
  };
}

function httpTable(client: gotTypes.Got): table.Table {
  return {
    read: async keys => {
      const rows = await ask<readonly table.Row[]>(client, 'table/read', {
        keys,
      });
      return new Map(rows.map(row => [row.key, row]));
    },
    scan: (prefix, afterKey, limit) =>
      ask(client, 'table/scan', {prefix, afterKey, limit}),
    commit: transaction => commit(client, transaction),
  };
}

function httpObjects(client: gotTypes.Got): table.ObjectStore {
  return {
    put: async (key, body) => {
      await ask(client, 'objects/put', {key, body});
    },
    get: async key => {
      const found = await ask<{readonly body?: string}>(client, 'objects/get', {
        key,
      });
      return found.body;
    },
  };
}

async function ask<T>(
  client: gotTypes.Got,
  path: string,
  body: unknown,
): Promise<T> {
  try {
    const response = await client.post(path, {json: body});
    if (response.statusCode === 200) return JSON.parse(response.body) as T;
    throw new table.StoreError(`store answered ${response.statusCode}`);
  } catch (error) {
    if (error instanceof table.StoreError) throw error;
    throw new table.StoreError(`store did not answer: ${messageOf(error)}`);
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
    const message = `store answered ${response.statusCode}`;
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
