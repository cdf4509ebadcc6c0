package org.banyanspoke.daemon.control.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.MemberState;
import org.banyanspoke.core.membership.MemberUpdate;
import org.banyanspoke.daemon.control.ControlSettings;
import org.banyanspoke.daemon.control.MemberView;
import org.banyanspoke.daemon.control.MemberView.Liveness;

/** Builds the member list that operators see. */
public final class MemberViews {
    private MemberViews() {}

    /** Returns this host and the other members, sorted by id. */
    public static List<MemberView> of(
            ControlSettings settings, MemberUpdate self, ConfigState config, List<Member> members) {
        List<MemberView> views = new ArrayList<>();
        views.add(new MemberView(
                settings.host(),
                settings.zone(),
                settings.peerAddress(),
                settings.incarnation(),
                liveness(self.state()),
                config.number()));
        members.forEach(member -> views.add(view(member)));
        views.sort(Comparator.comparing(MemberView::host));
        return List.copyOf(views);
    }

    private static MemberView view(Member member) {
        MemberUpdate latest = member.latest();
        return new MemberView(
                member.config().id(),
                member.config().zone(),
                member.config().peerAddress(),
                latest == null ? null : latest.incarnation(),
                latest == null ? Liveness.UNKNOWN : liveness(latest.state()),
                member.configNumber());
    }

    private static Liveness liveness(MemberState state) {
        return switch (state) {
            case ALIVE -> Liveness.LIVE;
            case SUSPECT -> Liveness.SUSPECT;
            case DEAD -> Liveness.DEAD;
            case LEFT -> Liveness.LEFT;
        };
    }
}
