export * as bounds from './bounds.js';
export * as delivery from './delivery.js';
export * as directory from './directory.js';
export * as host from './host.js';
export * as logs from './logs.js';
export * as metrics from './metrics.js';
export * as request from './request.js';
export * as rollouts from './rollouts.js';
