import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as stories from './requestlog.js';

const line = (time: number, host: string, event: string, rest = '') =>
  `  ${time}.5 ${host} {"level":"info","time":${time},"host":"${host}","event":"${event}","requestId":"r1"${rest}}`;

test.test('a story has the lines of all hosts in order', () => {
  const lines = [
    line(30, 'h2', 'answered', ',"status":200'),
    line(10, 'h1', 'sent', ',"server":"s1"'),
    'not a line',
    line(20, 'h1', 'send-failed', ',"cause":"reset"').slice(0, -4),
  ].flatMap(text => stories.lineOf(text) ?? []);
  assert.deepEqual(stories.story(lines, 'r1'), [
    '     0 ms  h1  sent  server=s1',
    '    20 ms  h2  answered  status=200',
  ]);
  assert.deepEqual(stories.story(lines, 'r2'), []);
});
