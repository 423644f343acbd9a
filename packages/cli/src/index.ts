export * as client from './client.js';
export * as trace from './trace.js';
export * as hostcommands from './hostcommands.js';
