export * as app from './app.js';
export * as console from './console.js';
export * as file from './file.js';
