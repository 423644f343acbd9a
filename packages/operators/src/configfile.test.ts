import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as file from './configfile.js';

/** The mistakes in a file as `line: message`. */
function mistakes(text: string): readonly string[] {
  const parsed = file.parseConfigFile(text);
  if (parsed.kind === 'edits') return [];
  return parsed.mistakes.map(({line, message}) => `${line}: ${message}`);
}

const PROFILE = '  - {name: p, tier: 1, deadlineMs: 100, idempotent: true}\n';

test.test('a good file becomes edits', () => {
  const parsed = file.parseConfigFile(`profiles:\n${PROFILE}`);
  assert.equal(parsed.kind === 'edits' && parsed.edits.length, 1);
});

test.test('an unknown field is named with its line', () => {
  const [first] = mistakes(`profiles:\n${PROFILE}  - name: q\n    teir: 1\n`);
  assert.match(first, /^\d: /);
  assert.ok(
    mistakes(`profiles:\n${PROFILE}accuonts: []\n`)[0].startsWith('3: '),
  );
});

test.test('a wrong value is named with its line', () => {
  const text = `profiles:\n${PROFILE}  - {name: q, tier: 9, deadlineMs: 1, idempotent: true}\n`;
  assert.match(mistakes(text)[0], /^3: profiles\.1\.tier/);
});

test.test('broken YAML is named with its line', () => {
  assert.match(mistakes('profiles:\n  - {name: p\n')[0], /^[23]: /);
});

test.test('edits over the network are checked too', () => {
  const edit = {entry: 'profile', name: 'p', value: {name: 'q'}} as never;
  assert.equal(file.validateEdits([edit]).length, 1);
});
