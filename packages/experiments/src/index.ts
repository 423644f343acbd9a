export * as engine from './engine.js';
export * as workloads from './workloads.js';
export * as simulation from './simulation.js';
