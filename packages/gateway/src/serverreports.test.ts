import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as directories from './directory.js';
import * as serverreports from './serverreports.js';

function entry(startedAtMs: number): directories.ServerEntry {
  return {id: 'i-1', startedAtMs} as directories.ServerEntry;
}

// Guards against a log line for every response with an unreadable report, and against one that hides that of another header.
test.test('an unreadable header is logged once for a start', () => {
  const logged: unknown[] = [];
  const event = (_: string, __: string, fields: unknown) => {
    logged.push(fields);
  };
  const log = new serverreports.UnreadableLog({event});
  const load = {header: 'x-load', text: '5,x'};
  for (const text of ['5,x', '6,x']) log.report(entry(1), [{...load, text}]);
  log.report(entry(1), [load, {header: 'x-limit', text: 'many'}]);
  log.report(entry(2), [load]);
  const what = 'statement of a backend server';
  assert.deepEqual(logged, [
    {what, key: 'i-1', detail: 'x-load: 5,x'},
    {what, key: 'i-1', detail: 'x-limit: many'},
    {what, key: 'i-1', detail: 'x-load: 5,x'},
  ]);
});
