/** Counters of the traffic between daemons, in total and by method. */

/** Traffic of one method. */
export interface MethodTraffic {
  messagesSent: number;
  bytesSent: number;
  messagesReceived: number;
  bytesReceived: number;
}

/** Traffic counters of one daemon. Bytes are those of frames, without transport headers. */
export class TrafficCounters {
  bytesSent = 0;
  bytesReceived = 0;
  messagesSent = 0;
  messagesReceived = 0;
  /** Frames that could not be decoded; their connections were closed. */
  malformedFrames = 0;
  /** Responses to calls that had already timed out. */
  lateAnswers = 0;
  /** Connections refused for another deployment or protocol version. */
  refusedConnections = 0;
  /** Traffic by method; responses are counted under `answer`. */
  readonly byMethod = new Map<string, MethodTraffic>();

  /** Counts a sent message. */
  sent(method: string, bytes: number): void {
    this.bytesSent += bytes;
    this.messagesSent += 1;
    const traffic = this.trafficOf(method);
    traffic.messagesSent += 1;
    traffic.bytesSent += bytes;
  }

  /** Counts a received message. */
  received(method: string, bytes: number): void {
    this.bytesReceived += bytes;
    this.messagesReceived += 1;
    const traffic = this.trafficOf(method);
    traffic.messagesReceived += 1;
    traffic.bytesReceived += bytes;
  }

  private trafficOf(method: string): MethodTraffic {
    let traffic = this.byMethod.get(method);
    if (traffic === undefined) {
      traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
      this.byMethod.set(method, traffic);
    }
    return traffic;
  }
}
