// Creates and connects all components of a host: caller and operator servers, links to other hosts, and the request path.

import * as http from 'node:http';
import * as https from 'node:https';
import * as timers from 'node:timers/promises';

import * as backends from '@banyanhall/backends';
import * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';
import * as operators from '@banyanhall/operators';
import * as peers from '@banyanhall/peers';
import * as platform from '@banyanhall/platform';
import type * as consola from 'consola';

import * as chats from './chat.js';
import * as claimsModule from './claims.js';
import * as configsModule from './configs.js';
import * as consoles from './console.js';
import * as crashesModule from '@banyanhall/fleet/crashes.js';
import * as dispatchers from './dispatcher.js';
import * as drivers from './driver.js';
import * as keepers from '@banyanhall/fleet/keeper.js';
import * as membersModule from '@banyanhall/fleet/members.js';
import * as moves from './moves.js';
import * as plains from './plain.js';
import * as requestsModule from './requests.js';
import * as routers from '@banyanhall/fleet/router.js';
import type * as settingsModule from './settings.js';
import * as sharesModule from './shares.js';
import * as slotsModule from '@banyanhall/fleet/slots.js';
import * as telemetry from './telemetry.js';
import * as timelines from '@banyanhall/fleet/timeline.js';

const DRAIN_POLL_MS = 100;
const GAUGE_INTERVAL_MS = 1000;
const US_PER_MS = 1000;
const LISTEN_BACKLOG = 4096;

/** One host: wires its components together, starts and stops them. */
export class Daemon implements callers.api.CallerApi {
  private readonly log: consola.ConsolaInstance;
  private readonly metrics: telemetry.Metrics;
  private readonly clock = decisions.clock.systemClock;
  private readonly random: decisions.random.Random;
  private readonly timeline: timelines.Timeline;
  private readonly links: peers.links.Links;
  private readonly router: routers.Router;
  private readonly backends = new backends.client.BackendClient();
  private readonly members: membersModule.Members;
  private readonly configs: configsModule.Configs;
  private readonly keeper: keepers.Keeper;
  private readonly slots: slotsModule.Slots;
  private readonly claims: claimsModule.Claims;
  private readonly crashes: crashesModule.Crashes;
  private readonly shares: sharesModule.Shares;
  private readonly driver: drivers.Driver;
  private readonly requests: requestsModule.Requests;
  private readonly chats: chats.ChatService;
  private readonly plains: plains.PlainService;
  private readonly moveStore: moves.MoveStore;
  private readonly servers: http.Server[] = [];
  private gaugeTimer: NodeJS.Timeout | undefined;
  private isStarted = false;
  private isClosed = false;
  private stopping: Promise<void> | undefined;

  constructor(private readonly settings: settingsModule.Settings) {
    const {hostId: host, region, zone} = settings;
    const {clock} = this;
    this.log = telemetry.createLogger(settings);
    this.metrics = telemetry.createMetrics(settings);
    this.random = decisions.random.seeded(
      decisions.rendezvous.hash32(`${host}${clock.nowMs()}`),
    );
    this.timeline = new timelines.Timeline(
      host,
      settings.timelineLog ? writeEvent : undefined,
    );
    const {timeline, random} = this;
    const store = platform.http.connect(settings.platformUrl);
    this.links = new peers.links.Links({
      host,
      secret: settings.fleetSecret,
      tls: settings.peerTls,
      onMessage: (from, item) => {
        this.members.onMessageFrom(from);
        this.router.handle(from, item);
      },
      onLinkDown: peer => this.onLinkDown(peer),
      onLinkReplaced: peer => this.slots.onLinkDown(peer),
    });
    this.router = new routers.Router({
      host,
      links: this.links,
      member: name => this.members.get(name),
    });
    const {router} = this;
    const config = () => this.configs.current;
    const serving = () => this.members.serving;
    const targets = (except = '') => this.members.gossipTargets(except);
    this.configs = new configsModule.Configs({
      ...{table: store.table, objects: store.objects, clock, timeline, router},
      targets,
      reachesMost: () => this.members.isMajorityReachable,
      onChange: () => this.onConfigChanged(),
    });
    this.members = new membersModule.Members({
      ...{table: store.table, router, timeline, clock, random},
      self: selfMember(settings, clock.nowMs()),
      configState: () => this.configs.configState,
      onConfigState: (from, state) => this.configs.onConfigState(from, state),
      onChange: () => this.slots.onMembers(),
      onDead: name => this.onHostDead(name),
      onSilent: name => this.links.drop(name),
    });
    const {backends: client} = this;
    this.keeper = new keepers.Keeper({
      ...{host, clock, router, timeline, backends: client, config, serving},
      serverList: store.serverList,
    });
    this.slots = new slotsModule.Slots({
      ...{host, region, zone, clock, router, timeline, config, serving},
    });
    this.claims = new claimsModule.Claims(store.table, clock, timeline);
    this.crashes = new crashesModule.Crashes({
      ...{host, clock, router, timeline, targets},
    });
    this.shares = new sharesModule.Shares({clock, random, router, timeline});
    this.moveStore = new moves.MoveStore(store.table, clock);
    const {configs, members, slots, claims, crashes, shares: samples} = this;
    this.driver = new drivers.Driver({
      ...{host, clock, store: this.moveStore, configs, members},
      ...{backends: client, router, timeline},
    });
    this.requests = new requestsModule.Requests({
      ...{host, clock, timeline, claims, crashes, config},
      isAccepting: () => this.isReady,
    });
    const dispatcher = new dispatchers.Dispatcher({
      ...{slots, claims, crashes, samples, timeline, clock},
      isFresh: () => configs.isFresh,
      whenRead: decisions.reads.whenRead,
      chooseVersion: terms => samples.choose(terms),
    });
    const {requests} = this;
    const shared = {requests, dispatcher, slots, claims, crashes, samples};
    this.chats = new chats.ChatService({
      ...shared,
      ...{host, backends: client, timeline, clock, router, config},
      sealer: new callers.position.PositionSealer(settings.fleetSecret),
    });
    this.plains = new plains.PlainService({
      ...shared,
      ...{backends: client, timeline, clock},
    });
    this.router.connect(this.messageHandlers());
  }

  /** True while the host accepts new requests. */
  get isReady(): boolean {
    return this.isStarted && !this.isClosed && this.configs.isFresh;
  }

  /** Starts the host; resolves when callers, operators and other hosts can connect. Rejects when it cannot listen on an address. */
  async start(): Promise<void> {
    const {settings} = this;
    await this.links.listen(settings.peerListen);
    await this.configs.start();
    await this.members.start();
    for (const component of this.components) component.start();
    this.fetchMissedChanges();
    await this.listen(
      settings.callerListen,
      callers.app.createApp(this).callback(),
    );
    const hostConsole = new consoles.HostConsole({
      ...{host: settings.hostId, configs: this.configs, members: this.members},
      ...{
        keeper: this.keeper,
        crashes: this.crashes,
        moveStore: this.moveStore,
      },
      timeline: this.timeline,
      isReady: () => this.isReady,
      usage: () => this.usage(),
    });
    const operatorApp = operators.app.createApp(
      hostConsole,
      settings.operatorKeySha256,
    );
    await this.listen(settings.operatorListen, operatorApp.callback());
    this.gaugeTimer = setInterval(() => this.reportGauges(), GAUGE_INTERVAL_MS);
    this.isStarted = true;
    this.timeline.record('started');
    this.log.info('started', {
      callerUrl: settings.callerUrl,
      configNumber: this.configs.current.number,
    });
  }

  /**
   * Stops gracefully: leaves the membership, so that callers no longer get
   * this address, keeps serving while callers may still use a cached address
   * list, then drains the requests in flight. Repeated calls share one stop.
   */
  stop(): Promise<void> {
    this.stopping ??= this.drain();
    return this.stopping;
  }

  chat(call: callers.api.ChatRequest): Promise<callers.api.ChatResponse> {
    return this.chats.chat(call);
  }

  plain(call: callers.api.PlainRequest): Promise<callers.api.PlainResponse> {
    return this.plains.call(call);
  }

  /** Returns the caller URLs of the usable hosts, in random order, those in this host's region first. */
  addresses(): callers.api.HostAddresses {
    const usable = this.members.serving.filter(member => {
      const isSelf = member.host === this.settings.hostId;
      return isSelf ? this.isReady : this.configs.isPeerFresh(member.host);
    });
    const shuffled = decisions.random.sample(
      usable,
      usable.length,
      this.random,
    );
    const distance = (region: string) =>
      region === this.settings.region ? 0 : 1;
    const urls = [...shuffled]
      .sort((a, b) => distance(a.region) - distance(b.region))
      .map(member => member.callerUrl);
    return {urls, keepMs: this.settings.addressKeepMs};
  }

  requestEnded(failure: decisions.verdict.Failure | undefined): void {
    this.metrics.ended(failure);
    if (!failure) return;
    const {type, verdict} = failure;
    this.timeline.record('refused', '', {type, verdict});
    this.log.debug('request failed', {type, verdict});
  }

  private get components(): readonly {start(): void; stop(): void}[] {
    const {keeper, slots, crashes, shares, driver} = this;
    return [keeper, slots, crashes, shares, driver];
  }

  private async drain(): Promise<void> {
    this.timeline.record('stopping');
    this.log.info('stopping', {inFlight: this.requests.total});
    this.driver.stop();
    await this.members.leave();
    await timers.setTimeout(this.settings.addressKeepMs);
    this.isClosed = true;
    while (this.isBusy) await timers.setTimeout(DRAIN_POLL_MS);
    for (const server of this.servers) {
      server.close();
      server.closeIdleConnections();
    }
    for (const component of this.components) component.stop();
    this.members.stop();
    this.configs.stop();
    clearInterval(this.gaugeTimer);
    this.timeline.record('stopped');
    this.log.info('stopped');
    this.links.close();
    this.backends.close();
    this.metrics.close();
  }

  private get isBusy(): boolean {
    return (
      this.requests.total > 0 ||
      this.slots.inUse > 0 ||
      this.chats.lingeringCount > 0
    );
  }

  /** Asks a sample of hosts for missed configuration changes; the hosts also send their crash records. */
  private fetchMissedChanges(): void {
    const afterNumber = this.configs.current.number;
    for (const host of this.members.gossipTargets()) {
      this.router.send(host, {kind: 'fetchChanges', body: {afterNumber}});
    }
  }

  private onLinkDown(peer: string): void {
    this.members.onLinkDown(peer);
    this.slots.onLinkDown(peer);
  }

  private onHostDead(host: string): void {
    this.keeper.onHostGone(host);
    this.configs.forget(host);
    this.links.drop(host);
  }

  private onConfigChanged(): void {
    this.keeper.onConfig();
    this.slots.onMembers();
  }

  private messageHandlers(): routers.MessageHandlers {
    const {keeper, slots, members, configs, crashes, shares, driver} = this;
    return {
      ask: (from, body) => keeper.onAsk(from, body),
      withdraw: (from, body) => keeper.onWithdraw(from, body),
      done: (from, body) => keeper.onDone(from, body),
      hold: (from, body) => keeper.onHold(from, body),
      grant: (from, body) => slots.onGrant(from, body),
      refuse: (from, body) => slots.onRefuse(from, body),
      queued: (from, body) => slots.onQueued(from, body),
      // This daemon shares neither usage nor the store's feeds, so it ignores these messages.
      usage: () => undefined,
      sums: () => undefined,
      charge: () => undefined,
      charged: () => undefined,
      refund: () => undefined,
      feed: () => undefined,
      probe: (from, body) => members.onProbe(from, body),
      ack: (from, body) => members.onAck(from, body),
      news: (from, body) => {
        members.onNews(from, body.members);
        crashes.onNews(from, body);
      },
      fetchChanges: (from, body) => {
        crashes.sendAll(from);
        void this.sendChanges(from, body.afterNumber);
      },
      changes: (_, body) => {
        const changes = body.changes.map(
          text => JSON.parse(text) as decisions.config.Change,
        );
        configs.applyChanges(changes);
      },
      detach: (_, body) => this.chats.onDetach(body.streamId),
      evidence: (from, body) => driver.onEvidence(from, body),
      share: (from, body) => shares.onShare(from, body),
    };
  }

  private async sendChanges(host: string, afterNumber: number): Promise<void> {
    const changes = await this.configs
      .cachedChangesAfter(afterNumber)
      .catch(() => []);
    if (changes.length === 0) return;
    const body = {changes: changes.map(change => JSON.stringify(change))};
    this.router.send(host, {kind: 'changes', body});
  }

  private listen(
    address: string,
    handler: http.RequestListener,
  ): Promise<void> {
    const {callerTls} = this.settings;
    const server = callerTls
      ? https.createServer(callerTls, handler)
      : http.createServer(handler);
    this.servers.push(server);
    const {hostname, port} = new URL(`http://${address}`);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), hostname, LISTEN_BACKLOG, () => resolve());
    });
  }

  private usage(): operators.api.HostUsage {
    const {sentItems, sentBytes} = this.links.traffic;
    const {commits, rows} = this.claims.counts;
    const {user, system} = process.cpuUsage();
    const {heapUsed, rss} = process.memoryUsage();
    return {
      cpuMs: (user + system) / US_PER_MS,
      heapBytes: heapUsed,
      rssBytes: rss,
      peerItems: sentItems,
      peerBytes: sentBytes,
      claimCommits: commits,
      claimRows: rows,
    };
  }

  private reportGauges(): void {
    this.metrics.gauge('inFlight', this.requests.total);
    this.metrics.gauge('configNumber', this.configs.current.number);
    for (const [name, value] of Object.entries(this.usage())) {
      this.metrics.gauge(name, value);
    }
  }
}

function selfMember(
  settings: settingsModule.Settings,
  incarnation: number,
): decisions.membership.Member {
  const {hostId: host, region, zone, callerUrl, peerAddress} = settings;
  return {
    ...{host, region, zone, callerUrl, peerAddress, incarnation},
    state: 'serving',
  };
}

function writeEvent(event: operators.api.TimelineEvent): void {
  process.stdout.write(`${JSON.stringify(event)}\n`);
}
