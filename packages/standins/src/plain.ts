import type * as http from 'node:http';

import type Koa from 'koa';

import * as server from './server.js';

/**
 * The behaviour of a plain service; tests set it at the start and change it with
 * `POST /fault`. The effect of a request is what the service does for it: a
 * `POST` is counted, a `GET` has none.
 */
export interface PlainBehaviour {
  /** Time from the effect, or from the receipt of a `GET`, to the answer. */
  readonly delayMs: number;
  /** Rejects requests, and reports in answers and in the load that the service is leaving, that is, being taken out of service. */
  readonly isLeaving: boolean;
  /** Rejects requests. */
  readonly isRefusing: boolean;
  /** Closes the connection after the effect instead of answering. */
  readonly losesReplies: boolean;
  /** Rejects `PUT /v1/versions` with a lower fence than the last one accepted. */
  readonly checksFence: boolean;
  /** Requests for this version fail with 500, after their effect; empty means none. */
  readonly badVersion: string;
}

const HEALTHY: PlainBehaviour = {
  delayMs: 5,
  isLeaving: false,
  isRefusing: false,
  losesReplies: false,
  checksFence: false,
  badVersion: '',
};

/** Stand-in for a plain HTTP service; counts the effects of `POST` requests by idempotency key. */
export class PlainStandIn {
  /** Number of effects by idempotency key. */
  private readonly effects = new Map<string, number>();
  private behaviour: PlainBehaviour;
  private versions: {fence: number; versions: readonly string[]};
  private running = 0;

  constructor(
    behaviour: Partial<PlainBehaviour> = {},
    versions: readonly string[] = ['v1'],
  ) {
    this.behaviour = {...HEALTHY, ...behaviour};
    this.versions = {fence: 0, versions};
  }

  /** Serves on loopback; resolves once it listens. */
  listen(port: number): Promise<http.Server> {
    return server.serve(
      {
        'GET /effects': ctx => {
          ctx.body = Object.fromEntries(this.effects);
        },
        'POST /fault': (ctx, body) => {
          if (body.crash) process.exit(1);
          this.behaviour = {...this.behaviour, ...body};
          ctx.body = this.behaviour;
        },
        'GET /v1/load': ctx => {
          const {isLeaving} = this.behaviour;
          ctx.body = {running: this.running, usedTokens: 0, isLeaving};
        },
        'GET /v1/versions': ctx => {
          ctx.body = this.versions;
        },
        'PUT /v1/versions': (ctx, body) => {
          const fence = Number(body.fence);
          if (fence < this.versions.fence && this.behaviour.checksFence) {
            ctx.status = 409;
          } else {
            const versions = body.versions as readonly string[];
            this.versions = {fence, versions};
          }
          ctx.body = this.versions;
        },
        'GET /*': ctx => this.run(ctx, false),
        'POST /*': ctx => this.run(ctx, true),
      },
      port,
    );
  }

  /** Handles a request to the service; a rejected one has no effect. */
  private async run(ctx: Koa.Context, hasEffect: boolean): Promise<void> {
    const {isLeaving, isRefusing, losesReplies, delayMs} = this.behaviour;
    if (isLeaving || isRefusing) {
      ctx.status = 503;
      ctx.body = {error: {code: 'not_admitted', leaving: isLeaving}};
      return;
    }
    const key = ctx.get('idempotency-key');
    if (hasEffect) {
      this.effects.set(key, (this.effects.get(key) ?? 0) + 1);
      console.log(JSON.stringify({effect: {key, atMs: Date.now()}}));
    }
    this.running++;
    await new Promise(resolve => setTimeout(resolve, delayMs));
    this.running--;
    if (losesReplies) {
      ctx.respond = false;
      ctx.res.destroy();
      return;
    }
    const {badVersion} = this.behaviour;
    if (badVersion !== '' && ctx.get('x-service-version') === badVersion) {
      ctx.status = 500;
      return;
    }
    ctx.body = {ok: true, path: ctx.path, effects: this.effects.get(key) ?? 0};
  }
}
