import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as messages from './messages.js';

const TICKET: messages.Ticket = {
  id: 'r1',
  account: 'sharqia',
  weight: 0,
  tier: 0,
  remainingMs: -5,
  promptTokens: 0,
  outputTokens: 0,
  chain: [],
  version: '',
  isSuspect: false,
  region: '',
  firstWithinMs: 0,
  onTimeWithinMs: 0,
  avoid: [],
  urgency: 0,
};

test.test('zero and empty fields survive the wire', () => {
  const body = {cell: '', ticket: TICKET};
  const sent: readonly messages.Message[] = [{kind: 'ask', body}];
  const [received] = messages.decode(messages.encode(sent));
  assert.deepEqual({...received.body}, body);
});

test.test('items keep their order and kind', () => {
  const sent: readonly messages.Message[] = [
    {kind: 'detach', body: {streamId: 'a'}},
    {kind: 'fetchChanges', body: {afterNumber: 7}},
    {kind: 'detach', body: {streamId: 'b'}},
  ];
  const received = messages.decode(messages.encode(sent));
  assert.deepEqual(
    received.map(item => ({kind: item.kind, body: {...item.body}})),
    sent,
  );
});

test.test('bytes that are no batch are refused', () => {
  assert.throws(() => messages.decode(Buffer.from([0xff, 0xff, 0xff])));
});
