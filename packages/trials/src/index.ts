export * as fleet from './fleet.js';
