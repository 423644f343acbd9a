// Writes docs/FAULT-MATRIX.md (`npm run matrix`).

import * as fs from 'node:fs';

import * as matrix from './matrix.js';

const PAGE = new URL('../../../docs/FAULT-MATRIX.md', import.meta.url);

fs.writeFileSync(PAGE, matrix.page());
