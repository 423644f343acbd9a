export * as buffers from './buffers.js';
export * as clientrequest from './clientrequest.js';
export * as events from './events.js';
export * as headers from './headers.js';
export * as statements from './statements.js';
export * as upstream from './upstream.js';
