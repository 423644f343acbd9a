export * as app from './app.js';
export * as api from './api.js';
export * as configfile from './configfile.js';
