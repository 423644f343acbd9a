import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as checks from './checks.js';
import * as faultKinds from './faultkinds.js';
import * as matrix from './matrix.js';

const ROOT = url.fileURLToPath(new URL('../../..', import.meta.url));

/** The titles of all tests in the packages. */
function testNames(): ReadonlySet<string> {
  const packages = path.join(ROOT, 'packages');
  const names = fs.readdirSync(packages).flatMap(name => {
    const folder = path.join(packages, name, 'src');
    return fs
      .readdirSync(folder)
      .filter(file => file.endsWith('.test.ts'))
      .flatMap(file => {
        const text = fs.readFileSync(path.join(folder, file), 'utf8');
        const found = text.matchAll(/test\.test\(\s*'([^']+)'/g);
        return [...found].map(match => match[1]);
      });
  });
  return new Set(names);
}

const covers = matrix.STEPS.flatMap(step =>
  Object.values(matrix.COVERAGE[step]).flat(),
);

test.test('every test that the fault matrix names exists', () => {
  const names = testNames();
  const missing = covers
    .filter(({kind, name}) => kind === 'test' && !names.has(name))
    .map(({name}) => name);
  assert.deepEqual(missing, []);
});

test.test(
  'every fault that the fault matrix names is a kind of fault in the trial',
  () => {
    const missing = covers
      .filter(({kind, name}) => kind === 'trial' && !faultKinds.FAULTS[name])
      .map(({name}) => name);
    assert.deepEqual(missing, []);
  },
);

test.test('the page in docs is up to date with the matrix', () => {
  const page = path.join(ROOT, 'docs', 'FAULT-MATRIX.md');
  assert.equal(fs.readFileSync(page, 'utf8'), matrix.page());
});

test.test('the page lists the promises that the trial checks', () => {
  const checked = Object.keys(checks.CHECKS);
  assert.deepEqual([...matrix.TRIAL_PROMISES], checked);
});
