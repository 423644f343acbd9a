/** Simulation of a cell against modelled engines, without network or real time. */
export * as engine from './engine.js';
export * as workloads from './workloads.js';
export * as simulation from './simulation.js';
