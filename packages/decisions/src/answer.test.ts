import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as answers from './answer.js';

const SEED = 20261204;

/** Parts of a text, cut at these points. */
function cut(text: string, points: readonly number[]): answers.AnswerPart[] {
  const bounds = [0, ...points.map(p => p % (text.length + 1)), text.length];
  const sorted = [...new Set(bounds)].sort((a, b) => a - b);
  return sorted.slice(1).map((end, i) => ({
    offset: sorted[i],
    text: text.slice(sorted[i], end),
  }));
}

test.test('late, repeated and unordered parts give the text once', () => {
  const property = fc.property(
    fc.string({minLength: 1, maxLength: 60}),
    fc.array(fc.nat(60), {maxLength: 8}),
    fc.array(fc.nat(60), {maxLength: 8}),
    fc.array(fc.nat(1000), {minLength: 20, maxLength: 20}),
    (text, cuts, otherCuts, order) => {
      const parts = [...cut(text, cuts), ...cut(text, otherCuts)];
      const shuffled = parts
        .map((part, i) => ({part, key: order[i % order.length]}))
        .sort((a, b) => a.key - b.key);
      let answer = answers.AnswerAssembler.resumeAt(0).end(text.length);
      let delivered = '';
      for (const {part} of shuffled) {
        const added = answer.add(part);
        answer = added.answer;
        delivered += added.text;
      }
      assert.equal(delivered, text);
      assert.ok(answer.isComplete);
    },
  );
  fc.assert(property, {seed: SEED});
});

test.test('an answer with a gap is not complete', () => {
  const answer = answers.AnswerAssembler.resumeAt(0).end(4);
  const added = answer.add({offset: 2, text: 'cd'});
  assert.equal(added.text, '');
  assert.ok(!added.answer.isComplete);
});

test.test('a resumed answer delivers only what is missing', () => {
  const added = answers.AnswerAssembler.resumeAt(3).add({
    offset: 0,
    text: 'abcde',
  });
  assert.equal(added.text, 'de');
});
