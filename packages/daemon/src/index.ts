export * as daemon from './daemon.js';
export * as settings from './settings.js';
