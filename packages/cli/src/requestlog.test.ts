import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as requestlog from './requestlog.js';

const logLine = (time: number, host: string, event: string, rest = '') =>
  `  ${time}.5 ${host} {"level":"info","time":${time},"host":"${host}","event":"${event}","requestId":"r1"${rest}}`;

test.test(
  'log lines of one request from several hosts are printed in order of time',
  () => {
    const lines = [
      logLine(30, 'h2', 'answered', ',"status":200'),
      logLine(10, 'h1', 'sent', ',"server":"s1"'),
      'not a line',
      logLine(20, 'h1', 'send-failed', ',"cause":"reset"').slice(0, -4),
    ].flatMap(text => requestlog.parseLogLine(text) ?? []);
    assert.deepEqual(requestlog.formatRequestLog(lines, 'r1'), [
      '     0 ms  h1  sent  server=s1',
      '    20 ms  h2  answered  status=200',
    ]);
    assert.deepEqual(requestlog.formatRequestLog(lines, 'r2'), []);
  },
);

test.test('the story of a refused request has the crashes behind it', () => {
  const crash = (time: number, crashId: string) =>
    `{"level":"info","time":${time},"host":"h1","event":"suspect","crashId":"${crashId}"}`;
  const detail = ',"detail":"parts s/p, crashes h1/1/1 h2/2/1"';
  const lines = [
    crash(10, 'h1/1/1'),
    crash(20, 'h3/9/9'),
    logLine(30, 'h2', 'refused', detail),
  ].flatMap(text => requestlog.parseLogLine(text) ?? []);
  assert.deepEqual(requestlog.formatRequestLog(lines, 'r1'), [
    '     0 ms  h1  suspect  crashId=h1/1/1',
    '    20 ms  h2  refused  detail=parts s/p, crashes h1/1/1 h2/2/1',
  ]);
});
