import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';

import type * as configsModule from './configs.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as keeperModule from '@banyanhall/fleet/keeper.js';
import type * as membersModule from '@banyanhall/fleet/members.js';
import type * as moves from './moves.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** How long `inForce` waits for the other hosts to answer a probe. */
const PROBE_WAIT_MS = 300;

/** Dependencies of `HostConsole`. */
export interface ConsoleOptions {
  readonly host: string;
  readonly configs: configsModule.Configs;
  readonly members: membersModule.Members;
  readonly keeper: keeperModule.Keeper;
  readonly crashes: crashesModule.Crashes;
  readonly moveStore: moves.MoveStore;
  readonly timeline: timelines.Timeline;
  readonly isReady: () => boolean;
  readonly usage: () => operators.api.HostUsage;
}

/** Implements the operator API on top of the components of this host. */
export class HostConsole implements operators.api.OperatorApi {
  constructor(private readonly options: ConsoleOptions) {}

  config(): decisions.config.Config {
    return this.options.configs.current;
  }

  change(
    request: operators.api.ChangeRequest,
  ): Promise<operators.api.ChangeResult> {
    return this.options.configs.append(request);
  }

  async history(limit: number): Promise<readonly decisions.config.Change[]> {
    const {configs} = this.options;
    const after = Math.max(0, configs.current.number - limit);
    return configs.changesAfter(after);
  }

  changeAt(number: number): Promise<decisions.config.Change | undefined> {
    return this.options.configs.changeAt(number);
  }

  /** Probes every host, waits for the answers, and reports which hosts have applied the configuration with this number. */
  async inForce(
    number: number,
  ): Promise<readonly operators.api.InForceStatus[]> {
    const {members, configs, host} = this.options;
    members.probeAll();
    await timers.setTimeout(PROBE_WAIT_MS);
    return members.view.members.map(member => {
      const isSelf = member.host === host;
      const knownNumber = isSelf
        ? configs.current.number
        : configs.numberOf(member.host);
      return {
        host: member.host,
        number: knownNumber,
        isInForce: knownNumber >= number,
      };
    });
  }

  status(): operators.api.Status {
    const {host, isReady, configs, members, keeper, crashes} = this.options;
    return {
      host,
      isReady: isReady(),
      configNumber: configs.current.number,
      hosts: members.view.members.map(member => ({
        host: member.host,
        region: member.region,
        zone: member.zone,
        state: member.state,
        callerUrl: member.callerUrl,
      })),
      cells: keeper.status(),
      suspectRequests: crashes.size,
      usage: this.options.usage(),
    };
  }

  timeline(afterSeq: number): readonly operators.api.TimelineEvent[] {
    return this.options.timeline.after(afterSeq);
  }

  moves(): Promise<readonly decisions.move.Move[]> {
    return this.options.moveStore.all();
  }

  startMove(
    request: operators.api.MoveRequest,
  ): Promise<operators.api.MoveResult> {
    const service = this.config().get('service', request.service);
    return this.options.moveStore.start(request, service);
  }

  rollBackMove(id: string, author: string): Promise<operators.api.MoveResult> {
    return this.options.moveStore.rollBack(id, author);
  }
}
