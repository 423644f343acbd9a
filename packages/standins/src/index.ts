/** HTTP stand-ins for backend servers and the platform, used by tests and trials. */
export * as batch from './batch.js';
export * as engine from './engine.js';
export * as plain from './plain.js';
export * as platform from './platform.js';
export * as server from './server.js';
