import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as settings from './settings.js';

const VALID_ENV = {
  BANYANHALL_HOST_ID: 'h1',
  BANYANHALL_REGION: 'delta-east',
  BANYANHALL_ZONE: 'zagazig-a',
  BANYANHALL_PLATFORM_URL: 'http://127.0.0.1:9000',
  BANYANHALL_FLEET_SECRET: '0123456789abcdef',
  BANYANHALL_OPERATOR_KEY_SHA256: 'a'.repeat(64),
};

function mistakes(
  args: readonly string[],
  env: Readonly<Record<string, string>> = VALID_ENV,
): readonly string[] {
  const parsed = settings.parse(args, env);
  return parsed.kind === 'mistakes' ? parsed.mistakes : [];
}

test.test('settings are read from environment variables', () => {
  const parsed = settings.parse([], VALID_ENV);
  assert.equal(parsed.kind, 'settings');
  assert.equal(parsed.kind === 'settings' && parsed.settings.hostId, 'h1');
});

test.test('a flag takes precedence over the environment', () => {
  const parsed = settings.parse(['--host-id', 'h2'], VALID_ENV);
  assert.equal(parsed.kind === 'settings' && parsed.settings.hostId, 'h2');
});

test.test('every mistake is reported', () => {
  const found = mistakes(['--peer-listen', 'x', '--log-format', 'y'], {});
  assert.equal(found.length, 8);
  assert.ok(found.some(text => text.startsWith('--peer-listen')));
  assert.ok(found.some(text => text.includes('BANYANHALL_REGION')));
});

test.test('an unknown flag is a mistake', () => {
  assert.equal(mistakes(['--no-such-flag', '1']).length, 1);
});

test.test('a certificate without its key is a mistake', () => {
  const found = mistakes(['--tls-cert', import.meta.filename]);
  assert.match(found.join(), /tls-cert, tls-key must be set together/);
});

test.test('the help text lists the settings', () => {
  assert.match(settings.helpText(), /--address-keep-ms/);
});
