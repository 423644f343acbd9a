import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logs from './logs.js';

interface Line {
  readonly event: string;
  readonly host: string;
  readonly requestId?: string;
  readonly of?: string;
  readonly lines?: number;
}

test.test(
  'lines per second are limited and suppressed lines are counted',
  () => {
    const written: Line[] = [];
    let nowMs = 0;
    const destination = {
      write: (text: string) => void written.push(JSON.parse(text) as Line),
    };
    const log = new logs.JsonLog('h', () => nowMs, destination);
    for (let i = 0; i < 150; i++) log.event('refused', `r${i}`);
    assert.equal(written.length, 100);
    nowMs = 1500;
    log.event('refused', 'next');
    const [suppressed, next] = written.slice(100);
    assert.deepEqual(
      {event: suppressed.event, of: suppressed.of, lines: suppressed.lines},
      {event: 'suppressed', of: 'refused', lines: 50},
    );
    assert.equal(next.requestId, 'next');
    assert.equal(next.host, 'h');
  },
);

test.test('failures are logged while successes are suppressed', () => {
  const written: Line[] = [];
  const destination = {
    write: (text: string) => void written.push(JSON.parse(text) as Line),
  };
  const log = new logs.JsonLog('h', () => 0, destination);
  for (let i = 0; i < 500; i++) log.event('answered', `r${i}`);
  log.event('broken', 'b');
  assert.equal(written[written.length - 1].requestId, 'b');
});
