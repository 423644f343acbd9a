export * as client from './client.js';
export * as trace from './trace.js';
export * as watching from './watching.js';
