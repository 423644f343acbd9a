import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as badinputs from './badinputs.js';

// Guards against a log that one lasting bad row fills.
test.test('a bad input is logged once for each content of its key', () => {
  const keys: unknown[] = [];
  const bad = new badinputs.BadInputs({
    event: (_, __, fields) => void keys.push(fields?.key),
  });
  for (let i = 0; i < 5; i++) {
    bad.report('entry', 'a', 'x');
    bad.report('entry', 'b', 'x');
  }
  bad.report('entry', 'a', 'y');
  assert.deepEqual(keys, ['a', 'b', 'a']);
});
