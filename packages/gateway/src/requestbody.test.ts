import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as requestbody from './requestbody.js';

const CHUNK = fc
  .tuple(fc.constantFrom(1, 2, 100, 1023, 1024, 70_000), fc.nat(255))
  .map(([bytes, fill]) => Buffer.alloc(bytes, fill));

// Guards against bytes that are lost or out of order where chunks are joined.
test.test('joined chunks are the chunks in order', () => {
  fc.assert(
    fc.property(fc.array(CHUNK, {maxLength: 60}), chunks => {
      const joined = new requestbody.JoinedChunks();
      for (const chunk of chunks) joined.add(chunk);
      const all = Buffer.concat(chunks);
      assert.equal(joined.bytes, all.length);
      assert.ok(joined.concat().equals(all));
    }),
  );
});

// Guards against a buffer for each tiny chunk, which costs a hundred times its size.
test.test('tiny chunks cost little more than their bytes', () => {
  const joined = new requestbody.JoinedChunks();
  for (let i = 0; i < 200_000; i++) joined.add(Buffer.from('x'));
  assert.ok(joined.heldBytes < 300_000, `${joined.heldBytes}`);
});
