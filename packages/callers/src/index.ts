export * as app from './app.js';
export * as api from './api.js';
export * as parse from './parse.js';
export * as position from './position.js';
