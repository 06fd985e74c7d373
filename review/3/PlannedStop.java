package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One node is stopped as planned, by SIGTERM, while requests run that end well before the grace time does. */
public final class PlannedStop {
    private static final int SIZE = 4;
    private static final double GRACE = 10.0;
    private static final double WORK = 6.0;
    private static final int TIME_LIMIT_MILLISECONDS = 9_000;
    private static final int REQUESTS = 8;

    public static void main(String[] arguments) {
        Fleet.play(arguments, SIZE, "abcd", PlannedStop::run);
    }

    private static Fleet.Result run(Fleet fleet) throws Exception {
        Map<String, Double> endedAt = new ConcurrentHashMap<>();
        Fleet.Behaviour behaviour =
            (server, request, output) -> {
                Fleet.pause(request.start().contains("/archive/") ? WORK : 0.05);
                endedAt.put(request.attempt(), Fleet.seconds());
                fleet.note("server %s has ended %s", server.id, request.attempt());
                server.reply(output, request, 200, new byte[40_000]);
                return true;
            };
        for (int index = 0; index < SIZE; index++) fleet.addServer(index, "hub", behaviour);
        fleet.publish(
            1,
            List.of("hub"),
            List.of(
                new String[] {"/archive/", "download", "hub", TIME_LIMIT_MILLISECONDS + "ms", "1"},
                new String[] {"/read/", "safe", "hub", "1500ms", "0"}));
        for (int index = 0; index < SIZE; index++) fleet.startNode(index, "hub");
        if (!fleet.awaitReady()) return Fleet.Result.COULD_NOT_RUN;
        Fleet.pause(3);
        for (int count = 0; count < 20; count++) {
            if (fleet.call(0, "GET", "/read/" + count, 2500, new byte[0], fleet.newAttempt()).status() != 200) return Fleet.Result.COULD_NOT_RUN;
        }
        Map<String, Fleet.Answer> answers = new ConcurrentHashMap<>();
        List<String> attempts = new ArrayList<>();
        for (int count = 0; count < REQUESTS; count++) {
            String attempt = fleet.newAttempt();
            attempts.add(attempt);
            Fleet.daemon(() -> answers.put(attempt, fleet.call(0, "GET", "/archive/" + attempt, TIME_LIMIT_MILLISECONDS, new byte[0], attempt)));
            Fleet.pause(0.05);
        }
        double stopped = Fleet.seconds();
        Process node = fleet.nodes.get(0);
        if (Fleet.TROUBLE) {
            node.destroy();
            fleet.note("node 0 gets SIGTERM");
            boolean isEnded = node.waitFor((long) (GRACE * 1000), TimeUnit.MILLISECONDS);
            fleet.say("node 0 %s %.2f s after SIGTERM", isEnded ? "ended" : "is killed", Fleet.seconds() - stopped);
            node.destroyForcibly();
        }
        Fleet.pause(Math.max(0, stopped + GRACE + 1 - Fleet.seconds()));
        AtomicInteger cut = new AtomicInteger();
        for (String attempt : attempts) {
            double end = endedAt.getOrDefault(attempt, Double.MAX_VALUE) - stopped;
            boolean isAnswered = answers.get(attempt) != null && answers.get(attempt).status() != 0;
            if (!isAnswered && end < GRACE * 5 / 6) {
                cut.incrementAndGet();
                fleet.note("request %s was cut; its server was done %.2f s after the SIGTERM", attempt, end);
            }
        }
        fleet.say("requests: %d; cut though their server was done before the last sixth of the grace time: %d", REQUESTS, cut.get());
        return cut.get() > 0 ? Fleet.Result.BROKEN : Fleet.Result.HELD;
    }
}
