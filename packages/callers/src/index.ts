export * as app from './app.js';
export * as gateway from './gateway.js';
export * as parse from './parse.js';
export * as position from './position.js';
