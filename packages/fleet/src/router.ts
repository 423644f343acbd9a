import type * as decisions from '@banyanhall/decisions';
import * as peers from '@banyanhall/peers';

/** A handler for each kind of message; `from` is the name of the host that sent it. */
export type MessageHandlers = {
  readonly [K in peers.messages.MessageKind]: (
    from: string,
    body: peers.messages.MessageBodies[K],
  ) => void;
};

/** Dependencies of `Router`; `member` looks up a host, whose address messages are sent to. */
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

  /** Sends a message to a host; returns false if the host is unknown. */
  send(host: string, message: peers.messages.Message): boolean {
    const {links, member} = this.options;
    if (host === this.options.host) {
      setImmediate(() => this.handle(host, message));
      return true;
    }
    const found = member(host);
    if (!found) return false;
    links.send(host, found.peerAddress, message);
    return true;
  }

  /** Passes a message to the handler for its kind. */
  handle(from: string, message: peers.messages.Message): void {
    const handler = this.handlers?.[message.kind] as
      ((from: string, body: unknown) => void) | undefined;
    handler?.(from, message.body);
  }
}
