//! An ordering as a sequence chart in SVG: a column for each client, the node and each backend, with time
//! going down.

use crate::role::Role;
use crate::scenario::Scenario;
use crate::story::{StoryStep, replay};
use crate::subject::SubjectFactory;
use std::fmt::Write as _;

const COLUMN_WIDTH: usize = 300;
const ROW_HEIGHT: usize = 34;
const TOP_MARGIN: usize = 60;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws the chart.
pub fn chart(make: SubjectFactory, scenario: &Scenario, path: &[u16]) -> String {
    let clients = scenario.requests.len();
    let column = |role: Role| match role {
        Role::Client(n) => n,
        Role::Node => clients,
        Role::Backend(b) => clients + 1 + b,
    };
    let x = |role: Role| COLUMN_WIDTH / 2 + COLUMN_WIDTH * column(role);
    let (steps, broken) = replay(make, scenario, path);
    let rows: usize = steps.iter().map(|step| 1 + step.actions.len()).sum();
    let (width, height) =
        (COLUMN_WIDTH * (clients + 1 + scenario.backends), TOP_MARGIN + ROW_HEIGHT * (rows + 2));
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" \
         font-size=\"11\">\n<defs><marker id=\"a\" markerWidth=\"8\" markerHeight=\"8\" refX=\"7\" refY=\"4\" \
         orient=\"auto\"><path d=\"M0,0 L8,4 L0,8 z\"/></marker></defs>\n\
         <rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    let text = |position: (usize, usize), colour: &str, content: &str| {
        let (x, y, content) = (position.0, position.1, escaped(content));
        format!("<text x=\"{x}\" y=\"{y}\" text-anchor=\"middle\" fill=\"{colour}\">{content}</text>\n")
    };
    let roles = (scenario.requests.iter().enumerate())
        .map(|(n, effect)| (Role::Client(n), format!("client {n}, {effect:?}")))
        .chain([(Role::Node, "node".to_owned())])
        .chain((0..scenario.backends).map(|b| (Role::Backend(b), format!("backend {b}"))));
    for (role, name) in roles {
        svg.push_str(&text((x(role), TOP_MARGIN / 2), "black", &name));
        let (x, end) = (x(role), height - ROW_HEIGHT);
        let _ =
            writeln!(svg, "<line x1=\"{x}\" y1=\"{TOP_MARGIN}\" x2=\"{x}\" y2=\"{end}\" stroke=\"#bbb\"/>");
    }
    let mut y = TOP_MARGIN + ROW_HEIGHT;
    for (StoryStep { sentence, from, to, actions }, number) in steps.iter().zip(1..) {
        let (start, end) = (x(*from), x(*to));
        if start != end {
            let _ = writeln!(
                svg,
                "<line x1=\"{start}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"black\" marker-end=\"url(#a)\"/>"
            );
        }
        svg.push_str(&text(((start + end) / 2, y - 5), "black", &format!("{number}. {sentence}")));
        for action in actions {
            y += ROW_HEIGHT;
            svg.push_str(&text((x(Role::Node), y - 5), "#06c", action));
        }
        y += ROW_HEIGHT;
    }
    if let Some(broken) = broken {
        svg.push_str(&text((width / 2, y), "#c00", &broken.to_string()));
    }
    svg.push_str("</svg>\n");
    svg
}
