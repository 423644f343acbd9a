export * as engine from './engine.js';
export * as loads from './loads.js';
export * as play from './play.js';
