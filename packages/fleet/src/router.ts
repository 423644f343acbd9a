import type * as decisions from '@banyanhall/decisions';
import * as peers from '@banyanhall/peers';

/** A handler for each kind of message from a host. */
export type MessageHandlers = {
  readonly [K in peers.messages.MessageKind]: (
    from: string,
    body: peers.messages.MessageBodies[K],
  ) => void;
};

/** Dependencies of `Router`; `member` looks up the address of a host. */
export interface RouterOptions {
  readonly host: string;
  readonly links: peers.links.Links;
  readonly member: (host: string) => decisions.membership.Member | undefined;
}

/** Sends messages to hosts; a message to this host itself is handled in the next turn of the event loop. */
export class Router {
  private handlers: MessageHandlers | undefined;

  constructor(private readonly options: RouterOptions) {}

  /** Sets the handlers; messages that arrive earlier are dropped. */
  connect(handlers: MessageHandlers): void {
    this.handlers = handlers;
  }

  /** Sends a message; returns false when the host is unknown. */
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

  /** Passes a message to the handler for its kind. */
  handle(from: string, item: peers.messages.Message): void {
    const handler = this.handlers?.[item.kind] as
      ((from: string, body: unknown) => void) | undefined;
    handler?.(from, item.body);
  }
}
