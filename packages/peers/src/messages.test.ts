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
  isOptional: true,
  region: '',
  firstWithinMs: 0,
  onTimeWithinMs: 0,
  avoid: [],
  excluded: [],
  urgency: 0,
  allowedRegions: [],
  hasAllowedRegions: true,
};

test.test('zero and empty fields are present after decoding', () => {
  const body = {cell: '', ticket: TICKET};
  const sent: readonly messages.Message[] = [{kind: 'ask', body}];
  const [received] = messages.decode(messages.encode(sent));
  assert.deepEqual({...received.body}, body);
});

test.test('messages keep their order and kind', () => {
  const sent: readonly messages.Message[] = [
    {kind: 'detach', body: {streamId: 'a'}},
    {kind: 'fetchChanges', body: {afterNumber: 7}},
    {kind: 'detach', body: {streamId: 'b'}},
  ];
  const received = messages.decode(messages.encode(sent));
  assert.deepEqual(
    received.map(message => ({kind: message.kind, body: {...message.body}})),
    sent,
  );
});

test.test('malformed bytes make decode throw', () => {
  assert.throws(() => messages.decode(Buffer.from([0xff, 0xff, 0xff])));
});

// Guards against an older build's message that looks as if it were of the era 0.
test.test('a feed of a build that knows no eras states none', () => {
  const body = {
    ...{table: 't', isAnswering: true, ageMs: 0, rows: []},
    ...{fromRevision: 1, toRevision: 2},
  };
  const sent = [{kind: 'feed', body}] as unknown as messages.Message[];
  const [received] = messages.decode(messages.encode(sent));
  assert.deepEqual({...received.body}, {...body, hasEra: false, era: 0});
});
