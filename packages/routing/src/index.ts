export * as allowance from './allowance.js';
export * as allowanceview from './allowanceview.js';
export * as configuration from './configuration.js';
export * as usage from './usage.js';
