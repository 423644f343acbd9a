export * as events from './events.js';
export * as headers from './headers.js';
export * as upstream from './upstream.js';
