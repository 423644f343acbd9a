/*
 * Assembles a host from its parts, owns its listeners, and takes each caller's
 * request from arrival to its response.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

import * as decisions from '@banyanhall/decisions';
import * as crashesModule from '@banyanhall/fleet/crashes.js';
import * as fallbacks from '@banyanhall/fleet/fallback.js';
import * as feedrelays from '@banyanhall/fleet/feedrelay.js';
import * as keepers from '@banyanhall/fleet/keeper.js';
import * as membersModule from '@banyanhall/fleet/members.js';
import * as routers from '@banyanhall/fleet/router.js';
import * as slotsModule from '@banyanhall/fleet/slots.js';
import * as statementsModule from '@banyanhall/fleet/statements.js';
import * as forwarding from '@banyanhall/forwarding';
import * as peers from '@banyanhall/peers';
import type * as platform from '@banyanhall/platform';
import type * as routing from '@banyanhall/routing';

import * as addresses from './addresses.js';
import * as allowancesModule from './allowances.js';
import * as badinputs from './badinputs.js';
import * as fleetlimits from './fleetlimits.js';
import * as callerbounds from './callerbounds.js';
import * as callerclosures from './callerclosures.js';
import type * as callerconnection from './callerconnection.js';
import * as callerconnections from './callerconnections.js';
import * as callerrequests from './callerrequests.js';
import * as callerresponses from './callerresponse.js';
import * as coldservers from './coldservers.js';
import * as dispatchers from './dispatcher.js';
import * as evacuationsModule from './evacuations.js';
import * as directories from './directory.js';
import * as listeners from './listeners.js';
import * as logs from './logs.js';
import * as looplag from './looplag.js';
import * as metricsModule from './metrics.js';
import * as regionsModule from './regions.js';
import * as requests from './request.js';
import type * as requestbody from './requestbody.js';
import * as rollouts from './rollouts.js';
import * as serverlimits from './serverlimits.js';
import * as serverstatements from './serverstatements.js';
import * as shutdowns from './shutdown.js';
import * as sidelisteners from './sidelisteners.js';
import * as suspectrejections from './suspectrejections.js';
import * as timelinelog from './timelinelog.js';
import * as tunnelsModule from './tunnels.js';
import * as verifiedhosts from './verifiedhosts.js';

/** How long callers may cache an address response, in milliseconds. */
const ADDRESS_TTL_MS = 1000;
/** Some callers use an address response for this multiple of its TTL. */
const ADDRESS_TTL_FACTOR = 3;
/** At this event loop lag a host rejects new requests, since it could only answer them late. */
const MAX_LOOP_LAG_MS = 400;
/** The retry-after time of requests rejected for lag; callers may retry on another host. */
const LAG_RETRY_AFTER_MS = 200;
/** Added to the grace period, in which a process that is still stopping may hold an address. */
const START_SLACK_MS = 2000;
/** Shared by the hosts of a deployment. Prevents accidental links from other processes; it is no protection against attacks. */
const LINK_SECRET = 'banyanhall';

/** An ip:port to listen on. */
export type Address = string;

/** The settings a host needs at start; addresses are ip:port. */
export interface HostSettings {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  /** Where callers query the addresses of the hosts. */
  readonly lookupAddress: Address;
  readonly peerAddress: Address;
  readonly metricsAddress: Address;
  readonly metricsPath: string;
  /** The time from the stop signal until the process is killed. */
  readonly gracePeriodMs: number;
  /** The interval at which backend servers write their entries. */
  readonly serverHeartbeatMs: number;
  /** The most bytes that the host buffers for requests. */
  readonly bufferLimitBytes: number;
  /** What it may hold for callers besides; without bounds by default. */
  readonly callerBounds?: callerbounds.CallerBounds;
  /** The CPU quota of the host in cores; 0 when unknown. */
  readonly cores: number;
  readonly fleetLimits: fleetlimits.FleetLimitSettings;
  readonly quota: allowancesModule.QuotaSettings;
  /** The bound of requests to cold backend servers. */
  readonly warmup: decisions.coldstart.WarmupBounds;
}

/** The platform's formats of readiness checks, address queries and configurations; supplied by the platform adapter. */
export interface PlatformFormats {
  readonly isReadinessCheck: (path: string) => boolean;
  /** Parses an address query; undefined when the target is not one. */
  readonly parseAddressQuery: (
    target: string,
  ) => Omit<addresses.AddressQuery, 'caller'> | undefined;
  readonly formatAddresses: (
    addresses: readonly Address[],
    ttlMs: number,
  ) => string;
  /** Decodes a configuration; undefined when the text is invalid. */
  readonly decodeConfiguration: (
    text: string,
  ) => routing.configuration.Configuration | undefined;
}

/** Dependencies of `Host`. */
export interface HostOptions {
  readonly settings: HostSettings;
  readonly dialect: requests.Dialect;
  readonly formats: PlatformFormats;
  readonly table: platform.table.Table;
  readonly log: logs.Log;
  readonly metrics: metricsModule.Metrics;
  readonly rolloutRecords: rollouts.RolloutRecords;
  /** Called when a listener that the host needs ends by itself. */
  readonly onListenerEnded?: (reason: string) => void;
}

interface Part {
  start(): void;
  stop(): void;
}

/** One host of a deployment: connects its parts, starts and stops them. */
export class Host {
  readonly directory: directories.Directory;
  readonly rollouts: rollouts.Rollouts;
  /** Shares the store's tables with the other hosts. */
  readonly feedRelay: feedrelays.FeedRelay;
  private readonly clock = decisions.clock.systemClock;
  private readonly random: decisions.random.Random;
  private readonly links: peers.links.Links;
  private readonly router: routers.Router;
  private readonly members: membersModule.Members;
  private readonly keeper: keepers.Keeper;
  private readonly slots: slotsModule.Slots;
  private readonly crashes: crashesModule.Crashes;
  private readonly statements: statementsModule.Statements;
  readonly evacuations: evacuationsModule.Evacuations;
  /** The backend servers that are cold after a start. */
  readonly coldServers: coldservers.ColdServers;
  private readonly serverLimits: serverlimits.ServerLimits;
  private readonly fleetLimits: fleetlimits.FleetLimits;
  private readonly allowances: allowancesModule.Allowances;
  private readonly dispatcher: dispatchers.Dispatcher;
  private readonly upstream: forwarding.upstream.Upstream;
  private readonly paths: forwarding.paths.Paths;
  private readonly tunnels: tunnelsModule.Tunnels;
  private readonly ingress: http.Server;
  private readonly buffers: forwarding.buffers.BufferAccount;
  private readonly callers: callerconnections.CallerConnections;
  private readonly callerOptions: Omit<
    callerconnections.CallerConnectionsOptions,
    'server'
  >;
  private readonly shutdown: shutdowns.Shutdown;
  private readonly lag = new looplag.EventLoopLag(() =>
    this.clock.monotonicMs(),
  );
  /** The servers that have to listen for the host to be ready, with the callers' one. */
  private readonly neededServers: http.Server[] = [];
  /** Serves nothing that callers need. */
  private readonly metricsServer: http.Server;
  private readonly badInputs: badinputs.BadInputs;
  private configurationText = '';
  private stopped: Promise<void> | undefined;
  private configurationSource = '';
  private isReadyLogged = false;
  private readonly verifiedHosts: verifiedhosts.VerifiedHosts;
  private readonly cutOffHosts = new addresses.CutOffHosts(this.clock);
  private readonly serverStatements: serverstatements.ServerStatements;

  constructor(private readonly options: HostOptions) {
    const {settings, log, dialect, metrics} = options;
    const {host, region, zone} = settings;
    const {clock} = this;
    this.badInputs = new badinputs.BadInputs(log);
    this.random = decisions.random.seeded(
      decisions.rendezvous.hash32(`${host}${clock.nowMs()}`),
    );
    const {random} = this;
    const timeline = timelinelog.loggedTimeline(host, log);
    const {callerBounds: bounds = callerbounds.UNBOUNDED} = settings;
    this.links = new peers.links.Links({
      ...{host, maxUnknownConnections: bounds.unknownPeers},
      secret: LINK_SECRET,
      onMessage: (from, item) => {
        this.verifiedHosts.onHeard(from);
        this.members.onMessageFrom(from);
        this.handleMessage(from, item);
      },
      onLinkDown: peer => {
        this.members.onLinkDown(peer);
        this.slots.onLinkDown(peer);
      },
      onLinkReplaced: peer => this.slots.onLinkDown(peer),
      onTunnel: (from, address) => this.tunnels.accept(from, address),
    });
    this.router = new routers.Router({
      host,
      links: this.links,
      member: name => this.members.get(name),
    });
    const {router} = this;
    this.evacuations = new evacuationsModule.Evacuations({
      ...{log, metrics},
      isKnownZone: name => name === zone || settings.regionByZone.has(name),
      onChange: () => {
        this.directory.onEvacuations();
        this.logReady();
      },
    });
    this.directory = new directories.Directory({
      ...{clock, log, regionByZone: settings.regionByZone},
      heartbeatMs: settings.serverHeartbeatMs,
      isEvacuated: name => this.evacuations.isEvacuated(name),
      onChange: () => {
        this.keeper.onConfig();
        this.slots.onMembers();
      },
    });
    const {directory} = this;
    const config = () => directory.poolConfig;
    const serving = () => this.members.serving;
    this.verifiedHosts = new verifiedhosts.VerifiedHosts({
      ...{host, clock, log},
      probe: name => this.members.probeUnresponsive(name),
    });
    this.members = new membersModule.Members({
      ...{table: options.table, router, timeline, clock, random},
      self: {
        ...{host, region, zone, incarnation: clock.nowMs()},
        // Address responses consist of ip:port, not URLs.
        callerUrl: settings.callerAddress,
        peerAddress: settings.peerAddress,
        cores: settings.cores,
        state: 'serving',
      },
      configState: () => ({
        configNumber: directory.configuration?.version ?? 0,
        configAgeMs: 0,
        isCutOff: this.paths.isCutOff,
      }),
      onConfigState: (from, state) => this.onPeerConfigState(from, state),
      onChange: () => {
        this.slots.onMembers();
        this.verifiedHosts.onMembers(this.members.view);
        this.feedRelay.onMembers();
        this.upstream.closeIdleExcept(
          new Set(serving().map(member => member.host)),
        );
      },
      onPart: () => this.onPart(),
      onBadLease: ({key, version}) =>
        this.badInputs.report('lease of a host', key, String(version)),
      onDead: gone => {
        this.keeper.onHostGone(gone);
        this.links.drop(gone);
      },
      onSilent: silent => this.links.drop(silent),
      onRewritten: key => this.onRewritten('lease', key),
      afterReads: decisions.reads.afterReads,
      onJoin: joined => {
        this.crashes.onJoin(joined, serving().length);
        this.statements.onJoin(joined, serving().length);
      },
    });
    this.feedRelay = new feedrelays.FeedRelay({
      ...{host, zone, clock, serving},
      send: (to, item) => router.send(to, item),
    });
    this.keeper = new keepers.Keeper({
      ...{host, clock, router, timeline, config, serving},
      // Backend servers that leave are removed from the directory instead.
      serverList: {list: () => Promise.resolve([])},
      limitPerSOf: server => this.serverLimits.ownLimitPerSOf(server),
      brittlePartOf: server =>
        this.serverStatements.isBrittle(server) ? this.members.part : undefined,
      onOutcome: (server, outcome) =>
        this.coldServers.onOutcome(server, outcome),
    });
    this.slots = new slotsModule.Slots({
      ...{host, region, zone, clock, router, timeline, config, serving},
      chooseWithoutKeeper: slotRequest =>
        fallbacks.chooseServer(slotRequest, {
          ...{region, random},
          heldOn: server => this.slots.heldOn(server),
          hasFailedLately: server => this.slots.hasFailedLately(server),
          limitPerSOf: server => this.serverLimits.limitPerSOf(server),
          isBrittle: server => this.serverStatements.isBrittle(server),
        }),
      onUnanswered: keeper => this.members.probeUnresponsive(keeper),
      afterReads: decisions.reads.afterReads,
    });
    this.crashes = new crashesModule.Crashes({
      ...{host, clock, router, timeline},
      targets: except => this.members.gossipTargets(except),
    });
    this.statements = new statementsModule.Statements({
      ...{host, clock, router},
      targets: except => this.members.gossipTargets(except),
      keepersOf: start => this.keepersOf(start),
      isInUse: start => directory.entryOfStart(start) !== undefined,
      onChange: change => this.serverStatements.onChange(change),
    });
    const onLimit = (server: string) => this.keeper.onLimit(server);
    const part = () => this.members.part;
    this.coldServers = new coldservers.ColdServers({
      ...{clock, directory, log, metrics, part, onChange: onLimit},
      bounds: settings.warmup,
      entriesAgeMs: () => this.feedRelay.oldestAnswerAgeMs,
    });
    this.serverLimits = new serverlimits.ServerLimits({
      ...{directory, log, metrics, part, onChange: onLimit},
      ...{statements: this.statements, cold: this.coldServers},
    });
    this.serverStatements = new serverstatements.ServerStatements({
      ...{clock, log, metrics, directory, statements: this.statements},
      ...{limits: this.serverLimits, onBrittle: onLimit},
    });
    this.fleetLimits = new fleetlimits.FleetLimits({
      ...{host, clock, random, settings: settings.fleetLimits},
      members: serving,
      ...{part},
      send: (to, item) => router.send(to, item),
      onUnanswered: hub => this.members.probeUnresponsive(hub),
    });
    this.allowances = new allowancesModule.Allowances({
      ...{host, clock, quota: settings.quota},
      members: serving,
      part: () => this.members.part,
      send: (to, item) => router.send(to, item),
      onUnanswered: hub => this.members.probeUnresponsive(hub),
      afterReads: decisions.reads.afterReads,
    });
    this.rollouts = new rollouts.Rollouts({
      ...{host, clock, random, router, directory, log},
      servingHosts: () => serving().map(member => member.host),
      records: options.rolloutRecords,
      onRewritten: key => this.onRewritten('rollout', key),
    });
    const {bufferLimitBytes} = settings;
    this.buffers = new forwarding.buffers.BufferAccount(
      ...([bufferLimitBytes, bounds] as const),
    );
    this.tunnels = new tunnelsModule.Tunnels({
      ...{host, zone, clock, random, links: this.links, serving, directory},
      buffers: this.buffers,
      paths: () => this.paths,
      isStopping: () => this.shutdown.hasBegun,
      loopLagMs: () => this.lag.lagMs,
    });
    this.paths = new forwarding.paths.Paths({
      ...{clock, carriers: this.tunnels},
      isListed: address => directory.entryAt(address) !== undefined,
      healthPathOf: address => this.healthPathOf(address),
      onChange: change => this.onPath(change),
    });
    const {paths} = this;
    this.upstream = new forwarding.upstream.Upstream(dialect.names, paths);
    this.shutdown = new shutdowns.Shutdown({
      ...{clock, gracePeriodMs: settings.gracePeriodMs},
      noticeMs: ADDRESS_TTL_MS * ADDRESS_TTL_FACTOR,
    });
    const {slots, crashes, upstream, shutdown} = this;
    const {regionByZone} = settings;
    this.dispatcher = new dispatchers.Dispatcher({
      ...{clock, dialect, directory, upstream, slots, crashes, log, metrics},
      ...{fleetLimits: this.fleetLimits, rollouts: this.rollouts},
      ...{statements: this.statements, shutdown, paths},
      regions: new regionsModule.Regions({
        ...{region, regionByZone, directory, metrics},
      }),
      ...{limits: this.serverLimits, cold: this.coldServers},
      loopLagMs: () => this.lag.lagMs,
    });
    router.connect(this.handlers());
    this.ingress = http.createServer(
      callerrequests.SERVER_OPTIONS,
      (request, response) => {
        this.onRequest(request, response).catch(error => {
          this.logError('', error);
          response.destroy();
        });
      },
    );
    this.callerOptions = {
      ...{clock, account: this.buffers, bounds},
      closures: new callerclosures.CallerClosures(log, metrics),
      limits: () => directory.configuration?.limits,
      isStopping: () => shutdown.hasBegun,
    };
    this.callers = new callerconnections.CallerConnections({
      ...{...this.callerOptions, server: this.ingress},
    });
    const {checkConnections} = bounds;
    this.metricsServer = this.createServer(
      checkConnections,
      (target, response) => {
        if (target !== settings.metricsPath)
          return listeners.respond(response, 404, '');
        void this.metricsText().then(
          text => listeners.respond(response, 200, text, 'text/plain'),
          () => listeners.respond(response, 500, ''),
        );
      },
    );
  }

  /** True when this host has a configuration, knows the evacuated zones, all that it needs serves, and it is not stopping. */
  get isReady(): boolean {
    return (
      !this.shutdown.hasBegun &&
      this.directory.configuration !== undefined &&
      this.evacuations.areKnown &&
      this.links.isListening &&
      this.neededServers.length > 0 &&
      this.neededServers.every(server => server.listening)
    );
  }

  /**
   * Starts the listeners and parts; resolves once callers and other hosts can
   * connect and the member list has started. Rejects if an address stays taken.
   */
  async start(): Promise<void> {
    const {settings, log} = this.options;
    const bounds = settings.callerBounds ?? callerbounds.UNBOUNDED;
    const {checkConnections, lookupConnections} = bounds;
    const readiness = this.createServer(
      checkConnections,
      (target, response) => {
        const isReadinessCheck = this.options.formats.isReadinessCheck(target);
        listeners.respond(
          response,
          isReadinessCheck ? (this.isReady ? 200 : 503) : 404,
          '',
        );
      },
    );
    const lookup = this.createServer(lookupConnections, (target, response) =>
      this.respondWithAddresses(target, response),
    );
    this.neededServers.push(this.ingress, readiness, lookup);
    const {metricsAddress} = settings;
    void this.listen(this.metricsServer, metricsAddress, Infinity);
    const timeoutMs = settings.gracePeriodMs + START_SLACK_MS;
    await Promise.all([
      this.startListener(settings.peerAddress, timeoutMs, () =>
        this.links.listen(settings.peerAddress),
      ),
      this.listen(this.ingress, settings.callerAddress, timeoutMs),
      this.listen(readiness, settings.readinessAddress, timeoutMs),
      this.listen(lookup, settings.lookupAddress, timeoutMs),
    ]);
    for (const part of this.parts) {
      part.start();
    }
    this.rollouts.start();
    this.lag.start();
    log.event('start', '', {
      ...{zone: settings.zone, callerAddress: settings.callerAddress},
      sinceProcessStartMs: Math.round(process.uptime() * 1000),
    });
    this.logReady();
    await this.members.start();
  }

  /** Applies a configuration's text; `from` is the store, a watcher of it or the host that sent it. */
  onConfigurationText(text: string, from: string): void {
    const {formats} = this.options;
    const next = formats.decodeConfiguration(text);
    if (!next) {
      this.badInputs.report('configuration', from, text);
      return;
    }
    if (!this.directory.onConfiguration(next, from)) return;
    const {regionByZone} = this.options.settings;
    regionsModule.reportMistakes(next, regionByZone, this.badInputs);
    this.configurationText = text;
    this.configurationSource = from;
    callerrequests.applyLimits(this.ingress, next.limits);
    this.logReady();
  }

  private logReady(): void {
    if (this.isReadyLogged || !this.isReady) return;
    this.isReadyLogged = true;
    const sinceProcessStartMs = Math.round(process.uptime() * 1000);
    const from = this.configurationSource;
    this.options.log.event('ready', '', {from, sinceProcessStartMs});
  }

  /** Writes again what the store may have lost, and no longer goes by what was read before; called when the store came back from an older copy. */
  onStoreRestored(): void {
    this.feedRelay.onStoreRestored();
    this.rollouts.onStoreRestored();
    this.members.onStoreRestored();
  }

  private onRewritten(what: string, key: string): void {
    const {log, metrics} = this.options;
    metrics.storeRewrites.inc({what});
    log.event('store-rewritten', '', {what, key});
  }

  /**
   * Drains and stops the host: it reports not ready and is left out of address
   * responses, serves what can end in time while callers may use cached
   * addresses, then waits for requests in flight until the grace period ends.
   */
  stop(): Promise<void> {
    this.stopped ??= this.drainAndClose();
    return this.stopped;
  }

  private async drainAndClose(): Promise<void> {
    const {shutdown, callers} = this;
    const {log} = this.options;
    // A late event loop handles the signal later than it arrived.
    shutdown.begin(this.clock.monotonicMs() - this.lag.readDelayMs);
    log.event('stop', '', {inFlight: callers.requests.length});
    void this.members.leave();
    await shutdown.waitUntil(() => shutdown.mustCloseListener);
    callers.stopListening();
    await shutdown.waitUntil(() => {
      callers.closeIdle();
      const isUnused = callers.isEmpty && this.tunnels.carried === 0;
      return isUnused || shutdown.mustExit;
    });
    this.logCut(callers.requests);
    log.event('stopped', '', {inFlight: callers.requests.length});
    callers.closeAll();
    for (const server of [...this.neededServers, this.metricsServer]) {
      server.close();
    }
    for (const part of this.parts) {
      part.stop();
    }
    this.rollouts.stop();
    this.directory.stop();
    this.lag.stop();
    this.members.stop();
    this.links.close();
    this.upstream.close();
  }

  /** Logs the requests whose connections this host closes at the end of its grace period. */
  private logCut(unanswered: readonly callerconnection.OpenRequest[]): void {
    const {log, metrics} = this.options;
    for (const {id, stage, arrivedMs} of unanswered) {
      const ageMs = Math.round(this.clock.monotonicMs() - arrivedMs);
      log.event('cut', id, {by: 'stop', stage, ageMs});
      metrics.cutRequests.inc({by: 'stop', stage});
    }
  }

  /** The parts with timers of their own. */
  private get parts(): readonly Part[] {
    const {keeper, slots, crashes, statements, fleetLimits, feedRelay} = this;
    const {paths, coldServers: cold} = this;
    return [
      ...[keeper, slots, crashes, statements, fleetLimits, feedRelay, paths],
      cold,
    ];
  }

  /** Handles a message of another host. An exception would end the link's reading, so that later messages are lost. */
  private handleMessage(from: string, message: peers.messages.Message): void {
    try {
      this.router.handle(from, message);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const content = `${message.kind}: ${detail}`;
      const fields = {detail: content};
      this.badInputs.report('message of a host', from, content, fields);
    }
  }

  private handlers(): routers.MessageHandlers {
    const {keeper, slots, members, crashes, statements} = this;
    const {rollouts: rolloutManager} = this;
    return {
      ask: (from, body) => keeper.onAsk(from, body),
      withdraw: (from, body) => keeper.onWithdraw(from, body),
      done: (from, body) => keeper.onDone(from, body),
      hold: (from, body) => keeper.onHold(from, body),
      grant: (from, body) => slots.onGrant(from, body),
      refuse: (from, body) => slots.onRefuse(from, body),
      queued: (from, body) => slots.onQueued(from, body),
      probe: (from, body) => members.onProbe(from, body),
      ack: (from, body) => members.onAck(from, body),
      news: (from, body) => {
        members.onNews(from, body.members);
        crashes.onNews(from, body);
        statements.onNews(from, body.statements);
      },
      fetchChanges: from => {
        const changes = [this.configurationText];
        this.router.send(from, {kind: 'changes', body: {changes}});
      },
      changes: (from, body) => {
        for (const text of body.changes) this.onConfigurationText(text, from);
      },
      usage: (from, body) => this.fleetLimits.onUsage(from, body),
      sums: (_, body) => this.fleetLimits.onSums(body),
      charge: (from, body) => this.allowances.onCharge(from, body),
      charged: (from, body) => this.allowances.onCharged(from, body),
      refund: (from, body) => this.allowances.onRefund(from, body),
      feed: (from, body) => this.feedRelay.onFeed(from, body),
      evidence: (_, body) => rolloutManager.onEvidence(body),
      share: (_, body) => rolloutManager.onShare(body),
      // Streams are not transferred between hosts: callers resume them themselves.
      detach: () => undefined,
    };
  }

  /** Requests the configuration from a host that has a newer version. */
  private onPeerConfigState(
    from: string,
    state: membersModule.ConfigState,
  ): void {
    this.cutOffHosts.onState(from, state.isCutOff ?? false);
    const known = this.directory.configuration?.version ?? 0;
    if (state.configNumber <= known) return;
    const body = {afterNumber: known};
    this.router.send(from, {kind: 'fetchChanges', body});
  }

  private async onRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {dialect, log, metrics} = this.options;
    // A late event loop reads a request later than it arrived.
    const arrivedMs = this.clock.monotonicMs() - this.lag.readDelayMs;
    const {names} = dialect;
    const id = forwarding.headers.value(request.headers, names.requestId) ?? '';
    const caller = new callerresponses.CallerResponse(
      response,
      names.requestId,
      id,
      () => this.shutdown.hasBegun,
    );
    const incoming = this.callers.begin(
      ...([request, response, id, arrivedMs] as const),
      () => caller.onCallerEnd(),
    );
    if (!incoming) return;
    const {tracked, holding} = incoming;
    let route = '';
    let result: dispatchers.DispatchResult;
    let isUnread = false;
    try {
      const body = await this.readBody(incoming);
      if (caller.isDisconnected || body === undefined) {
        log.event('caller-left', id, {stage: 'reading'});
        return;
      }
      if (typeof body === 'string') {
        isUnread = body !== 'cut';
        if (body !== 'cut') this.callers.onRefused(request, incoming, body);
        result = callerrequests.UNREAD_REJECTIONS[body]();
      } else {
        this.callers.onRead(request, incoming);
        await this.callers.mayDispatch(request, incoming);
        const checked =
          this.rejectionForLag() ??
          this.check(requests.toReceived(request, id, body, arrivedMs, names));
        if (checked.kind === 'accepted') {
          route = checked.route.name;
          result = await this.chargeAndDispatch(checked, caller, holding);
        } else {
          result = checked;
        }
      }
    } catch (error) {
      this.logError(id, error);
      result = {
        kind: 'rejection',
        status: 502,
        reason: 'internal',
        retryAfterMs: undefined,
      };
    }
    tracked.stage = 'answering';
    try {
      callerrequests.finishResponse(caller, result);
    } catch (error) {
      this.logError(id, error);
      caller.abort();
    }
    const outcome = result.kind === 'rejection' ? result.reason : result.kind;
    metrics.requests.inc({route, outcome});
    // Refusals of this kind are logged together, at most once a second.
    if (isUnread) return;
    log.event(callerrequests.EVENT_BY_RESULT[result.kind], id, {
      route,
      ...result,
      kind: undefined,
      tookMs: Math.round(this.clock.monotonicMs() - arrivedMs),
      version: this.directory.configuration?.version,
      versionAgeMs: Math.round(this.directory.configurationAgeMs),
    });
  }

  private logError(id: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.log.event('error', id, {reason});
  }

  /** Reads the body of a request; undefined when the caller disconnected first. */
  private async readBody({
    body,
  }: callerconnection.IncomingRequest): Promise<
    Buffer | undefined | requestbody.UnreadReason
  > {
    const {shutdown} = this;
    const cut = new AbortController();
    cut.signal.addEventListener('abort', () => body.end('cut'));
    const release = shutdown.abortWhen(cut, () => shutdown.mustCut);
    const result = await body.result;
    release();
    return result;
  }

  /**
   * Charges a request to its account and dispatches it. The charge and the slot
   * are requested together if the charge is likely to be granted.
   */
  private async chargeAndDispatch(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    holding: forwarding.buffers.Holding,
  ): Promise<dispatchers.DispatchResult> {
    const charge = this.allowances.charge(accepted);
    const rejection = charge.isLikely ? undefined : await charge.result;
    if (rejection) return rejection;
    const result = await this.dispatcher.dispatch(
      ...([accepted, caller, charge.result, holding] as const),
    );
    if (result.kind === 'rejection' && result.status === 503) {
      const wasCharged = (await charge.result) === undefined;
      if (wasCharged) this.allowances.refund(accepted);
    }
    return result;
  }

  /** A rejection while the event loop lag is too high. */
  private rejectionForLag(): requests.Rejection | undefined {
    const {lagMs} = this.lag;
    if (lagMs < MAX_LOOP_LAG_MS) return undefined;
    const detail = `event loop lag ${Math.round(lagMs)} ms`;
    return requests.rejection(503, 'host-behind', LAG_RETRY_AFTER_MS, detail);
  }

  /** Accepts a request, or rejects it by the configuration or as a suspect request. */
  private check(
    received: requests.ReceivedRequest,
  ):
    | (requests.AcceptedRequest & {readonly kind: 'accepted'})
    | requests.Rejection {
    const accepted = requests.accept(
      this.directory.configuration,
      received,
      this.options.dialect,
      this.random(),
      fingerprintOf,
    );
    if (accepted.kind === 'rejection') return accepted;
    const {fingerprint, sharedParts: parts} = accepted;
    const standing = this.crashes.standingOf({fingerprint, parts});
    const suspect = suspectrejections.rejectionOf(standing);
    if (suspect) return suspect;
    return this.shutdown.hasTimeFor(accepted)
      ? accepted
      : shutdowns.rejection('too little time left');
  }

  /** Applies a change of the part of the fleet that this host sees, to what it keeps for the fleet. */
  private onPart(): void {
    this.allowances.onPart();
    this.keeper.onLimits();
  }

  /** The keeper of the cell that contains the start of a backend server. */
  private keepersOf(start: string): readonly string[] {
    const entry = this.directory.entryOfStart(start);
    if (!entry) return [];
    const pool = [false, true]
      .map(isCandidate => this.directory.pool(entry.service, isCandidate))
      .find(each => each?.backendServers.some(({name}) => name === entry.id));
    const cell =
      pool &&
      decisions.celltopology
        .cellsOf(pool)
        .find(({zone}) => zone === '' || zone === entry.zone);
    if (!cell) return [];
    const {serving} = this.members;
    const keeper = decisions.celltopology.keeperOf(cell, serving);
    return keeper === undefined ? [] : [keeper];
  }

  /** Returns the health path of the backend server at an address; none for a brittle one, where a health check takes a slot or counts as rejected. */
  private healthPathOf(address: string): string {
    const {directory} = this;
    const entry = directory.entryAt(address);
    if (!entry || this.serverStatements.isBrittle(entry.id)) return '';
    return directory.configuration?.service(entry.service)?.healthPath ?? '';
  }

  /** Logs a change of this host's link to a backend server, and closes idle connections of the way that is not used any more. */
  private onPath(change: forwarding.paths.PathChange): void {
    const {address, isCut, result, cutMs} = change;
    const server = this.directory.entryAt(address)?.id ?? '';
    this.options.log.event(isCut ? 'link-cut' : 'link-restored', '', {
      ...{server, address, probe: result},
      cutMs: isCut ? undefined : Math.round(cutMs),
    });
    this.upstream.closeIdle(address);
  }

  private respondWithAddresses(
    target: string,
    response: http.ServerResponse,
  ): void {
    const {formats, settings} = this.options;
    const query = formats.parseAddressQuery(target);
    if (!query) return listeners.respond(response, 404, '');
    const serving = this.members.serving.filter(
      member => member.host !== settings.host || !this.shutdown.hasBegun,
    );
    const caller = response.socket?.remoteAddress ?? '';
    this.cutOffHosts.onState(settings.host, this.paths.isCutOff);
    const selected = this.verifiedHosts.select(serving, hosts =>
      addresses.hostsForCaller(
        ...([hosts, {...query, caller}, this.cutOffHosts] as const),
        this.directory.configuration,
      ),
    );
    const callerAddresses = selected.map(member => member.callerUrl);
    const body = formats.formatAddresses(callerAddresses, ADDRESS_TTL_MS);
    listeners.respond(response, 200, body, 'application/json');
  }

  private async metricsText(): Promise<string> {
    const {metrics, settings} = this.options;
    const inFlight = this.callers.requests.length;
    metrics.setGauge('in_flight', 'Requests in flight.', inFlight);
    const version = this.directory.configuration?.version ?? 0;
    metrics.setGauge('configuration_version', 'Version in force.', version);
    const hosts = this.members.serving.length;
    metrics.setGauge('serving_hosts', 'Hosts known to serve.', hosts);
    const unverified = this.verifiedHosts.unverified(this.members.serving);
    const unverifiedHelp = 'Serving hosts that lookups do not name yet.';
    metrics.setGauge('unverified_hosts', unverifiedHelp, unverified);
    const {connectionsOpened: connections} = this.upstream;
    metrics.setGauge('backend_connections', 'Connections opened.', connections);
    const cutHelp = 'Backend servers that only other hosts reach.';
    metrics.setGauge('cut_links', cutHelp, this.paths.cutCount);
    const carriedHelp = 'Open tunnels of other hosts.';
    metrics.setGauge('tunnels_carried', carriedHelp, this.tunnels.carried);
    const openedHelp = 'Tunnels opened through other hosts since the start.';
    metrics.setGauge('tunnels_opened', openedHelp, this.tunnels.opened);
    const isWatcher = Number(this.feedRelay.isWatcher);
    metrics.setGauge('store_watcher', 'Reads the store for others.', isWatcher);
    const ageHelp = 'Age of the oldest answer of the store in use, in seconds.';
    const ageS = this.feedRelay.oldestAnswerAgeMs / 1000;
    metrics.setGauge('store_answer_age_seconds', ageHelp, ageS);
    const callerBounds = settings.callerBounds ?? callerbounds.UNBOUNDED;
    callerrequests.reportHeld(
      ...([metrics, this.buffers, this.callers, callerBounds] as const),
    );
    this.serverStatements.setGauges();
    this.dispatcher.reports.setGauges();
    const refused = this.crashes.refusedParts.length;
    metrics.setGauge('refused_parts', 'Prompt parts refused.', refused);
    const {lowestTokens} = this.allowances;
    if (lowestTokens !== undefined) {
      const help = 'Lowest level of the allowances kept here, in tokens.';
      metrics.setGauge('allowance_tokens', help, lowestTokens);
    }
    return metrics.text();
  }

  /** Creates a server beside that of callers' requests. */
  private createServer(
    connections: number,
    handle: (target: string, response: http.ServerResponse) => void,
  ): http.Server {
    const bounds = {...this.callerOptions.bounds, connections};
    return sidelisteners.createServer({...this.callerOptions, bounds}, handle);
  }

  /** Listens on an address, waiting for it while it is taken. */
  private async listen(
    server: http.Server,
    address: Address,
    timeoutMs: number,
  ): Promise<void> {
    await this.startListener(address, timeoutMs, () =>
      listeners.listen(server, address),
    );
    server.on('error', error => this.logError('', error));
    server.once('close', () => {
      if (this.shutdown.hasBegun || server === this.metricsServer) return;
      this.options.onListenerEnded?.(`listener ${address} closed by itself`);
    });
  }

  /** Starts a listener and logs once if its address is taken. */
  private startListener(
    address: Address,
    timeoutMs: number,
    start: () => Promise<unknown>,
  ): Promise<void> {
    let hasFailed = false;
    return listeners.startWithin(timeoutMs, start, ({message: reason}) => {
      if (hasFailed) return;
      hasFailed = true;
      const fields = {address, reason, timeoutMs};
      this.options.log.event('listen-failed', '', fields);
    });
  }
}

function fingerprintOf(text: string, body: Buffer): string {
  return crypto.createHash('sha1').update(text).update(body).digest('base64');
}
