import * as cellbench from './cellbench.js';

console.table(cellbench.cellCosts());
