export * as fake from './fake.js';
export * as http from './http.js';
export * as table from './table.js';
