export * as links from './links.js';
export * as messages from './messages.js';
