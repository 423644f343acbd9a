export * as fleetlimits from './fleetlimits.js';
export * as dispatcher from './dispatcher.js';
export * as directory from './directory.js';
export * as host from './host.js';
export * as logs from './logs.js';
export * as metrics from './metrics.js';
export * as request from './request.js';
export * as rollouts from './rollouts.js';
