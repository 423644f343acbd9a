/** HTTP client of the operator API. */
import * as operators from '@banyanhall/operators';
import got from 'got';
import type * as gotTypes from 'got';

const REQUEST_TIMEOUT_MS = 20_000;

/** No host could be reached, or a host answered with an unexpected status. */
export class ClientError extends Error {}

/**
 * Calls the operator API. Except where noted, a call tries the URLs in order
 * and takes the first response, whatever its status.
 */
export class OperatorClient {
  private readonly http: gotTypes.Got;

  constructor(
    private readonly urls: readonly string[],
    key: string,
  ) {
    this.http = got.extend({
      retry: {limit: 0},
      throwHttpErrors: false,
      timeout: {request: REQUEST_TIMEOUT_MS},
      headers: {authorization: `Bearer ${key}`},
    });
  }

  /** Fetches the JSON body at a path. Throws ClientError. */
  async get<T>(path: string): Promise<T> {
    const response = await this.tryUrls(url => this.http.get(url + path));
    return this.parseResponse<T>(response, [200]);
  }

  /**
   * Posts a configuration change. Its change id makes it idempotent, so it is
   * safe to send it to another host if a response is lost. Throws ClientError.
   */
  async postChange(
    request: operators.api.ChangeRequest,
  ): Promise<operators.api.ChangeResult> {
    const response = await this.tryUrls(url =>
      this.http.post(`${url}/operator/config`, {json: request}),
    );
    return this.parseResponse(response, [200, 400, 409, 503, 504]);
  }

  /** Posts to a version move path. The request has no id to make it idempotent, so only the first URL is tried. Throws ClientError. */
  async postMove(
    path: string,
    body: object,
  ): Promise<operators.api.MoveResult> {
    const url = this.urls[0] + path;
    const response = await this.tryUrls(
      () => this.http.post(url, {json: body}),
      1,
    );
    return this.parseResponse(response, [200, 409]);
  }

  /** Fetches the timelines of all hosts and merges them in order of time; skips hosts that cannot be reached. */
  async mergedTimeline(): Promise<readonly operators.api.TimelineEvent[]> {
    const lists = await Promise.all(
      this.urls.map(url =>
        this.http
          .get(`${url}/operator/timeline`)
          .json<readonly operators.api.TimelineEvent[]>()
          .catch(() => []),
      ),
    );
    return lists.flat().sort((a, b) => a.atMs - b.atMs || a.seq - b.seq);
  }

  /** Tries the first `limit` URLs in order; throws ClientError with the last error. */
  private async tryUrls(
    call: (url: string) => Promise<gotTypes.Response<string>>,
    limit = this.urls.length,
  ): Promise<gotTypes.Response<string>> {
    let message =
      'no operator URL is set: expected one or more in --operator-url';
    for (const url of this.urls.slice(0, limit)) {
      try {
        return await call(url);
      } catch (error) {
        message = `${url}: ${(error as Error).message}`;
      }
    }
    throw new ClientError(message);
  }

  /** Parses the body of a response with an expected status; throws ClientError for any other status. */
  private parseResponse<T>(
    response: gotTypes.Response<string>,
    statuses: readonly number[],
  ): T {
    if (statuses.includes(response.statusCode)) {
      return JSON.parse(response.body) as T;
    }
    const {statusCode, body} = response;
    throw new ClientError(`unexpected status ${statusCode} from host: ${body}`);
  }
}
