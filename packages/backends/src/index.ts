export * as client from './client.js';
export * as engine from './engine.js';
