import type * as decisions from '@banyanhall/decisions';
import * as peers from '@banyanhall/peers';

/** Handlers of messages from other hosts, by kind. */
export type MessageHandlers = {
  readonly [K in peers.messages.MessageKind]: (
    from: string,
    body: peers.messages.MessageBodies[K],
  ) => void;
};

/** What the router needs to know: where hosts are, and who handles messages. */
export interface RouterOptions {
  readonly host: string;
  readonly links: peers.links.Links;
  readonly member: (host: string) => decisions.membership.Member | undefined;
}

/** Sends messages to hosts; one to the own host is handled in the next turn of the loop. */
export class Router {
  private handlers: MessageHandlers | undefined;

  constructor(private readonly options: RouterOptions) {}

  /** Sets the handlers; messages that come before are dropped. */
  connect(handlers: MessageHandlers): void {
    this.handlers = handlers;
  }

  /** Sends a message; returns false when the host is not known. */
  send(host: string, item: peers.messages.Message): boolean {
    const {links, member} = this.options;
    if (host === this.options.host) {
      setImmediate(() => this.handle(host, item));
      return true;
    }
    const found = member(host);
    if (!found) return false;
    links.send(host, found.peerAddress, item);
    return true;
  }

  /** Hands a message to its handler. */
  handle(from: string, item: peers.messages.Message): void {
    const handler = this.handlers?.[item.kind] as
      ((from: string, body: unknown) => void) | undefined;
    handler?.(from, item.body);
  }
}
