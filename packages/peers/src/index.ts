export * as links from './links.js';
export * as messages from './messages.js';
export * as tunnels from './tunnels.js';
