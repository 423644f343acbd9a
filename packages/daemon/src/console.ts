import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';

import type * as configsModule from './configs.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as keeperModule from '@banyanhall/fleet/keeper.js';
import type * as membersModule from '@banyanhall/fleet/members.js';
import type * as moves from './moves.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const ANSWER_WAIT_MS = 300;

/** What the operators' console needs from the rest of the host. */
export interface ConsoleOptions {
  readonly host: string;
  readonly configs: configsModule.Configs;
  readonly members: membersModule.Members;
  readonly keeper: keeperModule.Keeper;
  readonly crashes: crashesModule.Crashes;
  readonly store: moves.MoveStore;
  readonly timeline: timelines.Timeline;
  readonly isReady: () => boolean;
  readonly usage: () => operators.api.HostUsage;
}

/** What this host does for operators. */
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

  /** Asks every host for its number, waits a moment, and tells what is known. */
  async inForce(
    number: number,
  ): Promise<readonly operators.api.InForceStatus[]> {
    const {members, configs, host} = this.options;
    members.probeAll();
    await timers.setTimeout(ANSWER_WAIT_MS);
    return members.view.members.map(member => {
      const isSelf = member.host === host;
      const known = isSelf
        ? configs.current.number
        : configs.numberOf(member.host);
      return {host: member.host, number: known, isInForce: known >= number};
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
    return this.options.store.all();
  }

  startMove(
    request: operators.api.MoveRequest,
  ): Promise<operators.api.MoveResult> {
    const service = this.config().get('service', request.service);
    return this.options.store.start(request, service);
  }

  rollBackMove(id: string, author: string): Promise<operators.api.MoveResult> {
    return this.options.store.takeBack(id, author);
  }
}
