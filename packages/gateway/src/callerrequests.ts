/*
 * What a host does with each request of a caller before and after it is dispatched.
 */
import type * as http from 'node:http';

import * as forwarding from '@banyanhall/forwarding';
import type * as routing from '@banyanhall/routing';

import type * as callerbounds from './callerbounds.js';
import type * as callerconnections from './callerconnections.js';
import type * as callerresponses from './callerresponse.js';
import * as dispatchers from './dispatcher.js';
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';
import type * as requestbody from './requestbody.js';
import * as requests from './request.js';
import * as shutdowns from './shutdown.js';

/** The options of the callers' server until a configuration is known. */
export const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: 65_536,
  keepAliveTimeout: 15_000,
  // `CallerConnections` ends heads and bodies without progress.
  headersTimeout: 0,
  requestTimeout: 0,
  noDelay: true,
};

/** Applies the limits of a configuration to the callers' server. */
export function applyLimits(
  server: http.Server,
  {idleTimeoutMs, maxHeaderBytes}: routing.configuration.CallerLimits,
): void {
  server.keepAliveTimeout = idleTimeoutMs;
  // Read at each new connection; it counts a head without its separators. Otherwise Node.js drops lines after the 2,000th.
  Object.assign(server, {maxHeaderSize: maxHeaderBytes, maxHeadersCount: 0});
}

/** How requests are rejected that were not read to their end. */
export const UNREAD_REJECTIONS: Readonly<
  Record<requestbody.UnreadReason, () => requests.Rejection>
> = {
  cut: () => shutdowns.rejection('body not complete'),
  'no-room': () =>
    requests.rejection(
      503,
      dispatchers.NO_ROOM,
      dispatchers.NO_ROOM_RETRY_AFTER_MS,
      'body not complete',
    ),
  'head-too-large': () => requests.rejection(431, 'head-too-large'),
  'body-too-large': () => requests.rejection(413, 'body-too-large'),
  'body-timeout': () => requests.rejection(408, 'body-timeout'),
};

/** The log event of each result. */
export const EVENT_BY_RESULT: Readonly<
  Record<dispatchers.DispatchResult['kind'], logs.LogEvent>
> = {
  answered: 'answered',
  'broken-off': 'broken',
  'caller-left': 'caller-left',
  rejection: 'refused',
};

/** Sends what the caller is still to get: a rejection, or the end of its connection where part of a response was sent. */
export function finishResponse(
  caller: callerresponses.CallerResponse,
  result: dispatchers.DispatchResult,
): void {
  if (result.kind === 'rejection' && !caller.isStarted) {
    caller.sendRejection(result);
  } else if (result.kind === 'rejection' || result.kind === 'broken-off') {
    caller.abort();
  }
}

/** Sets the metrics of what is held for callers. */
export function reportHeld(
  metrics: metricsModule.Metrics,
  account: forwarding.buffers.BufferAccount,
  callers: callerconnections.CallerConnections,
  bounds: callerbounds.CallerBounds,
): void {
  const {heldBytes, limitBytes, ended, heldByClass, endingBytes} = account;
  const heldHelp = 'Bytes buffered for requests.';
  metrics.setGauge('buffered_bytes', heldHelp, heldBytes);
  const limitHelp = 'Most bytes that are buffered for requests.';
  metrics.setGauge('buffered_bytes_limit', limitHelp, limitBytes);
  const endedHelp = 'Requests ended for room in the buffers since the start.';
  metrics.setGauge('requests_without_room', endedHelp, ended);
  for (const heldClass of forwarding.buffers.HELD_CLASSES) {
    metrics.heldBytes.set({class: heldClass}, heldByClass[heldClass]);
  }
  metrics.heldBytes.set({class: 'ending'}, endingBytes);
  const openHelp = 'Open connections of callers.';
  metrics.setGauge('caller_connections', openHelp, callers.count);
  const mostHelp = 'Most open connections of callers.';
  metrics.setGauge('caller_connections_limit', mostHelp, bounds.connections);
}
